/** Events that a replica receives, and effects that it emits. */
import type { ConsensusMessage } from "./consensus_messages.ts";
import type {
  Configuration,
  HardState,
  LogEntry,
  Snapshot,
} from "./log_types.ts";

/** A membership change of one replica. */
export type ConfigurationChange =
  /** Adds a replica that receives the log but does not vote. */
  | { readonly type: "AddLearner"; readonly replicaId: string }
  /** Makes a learner that has caught up a voter. */
  | { readonly type: "PromoteLearner"; readonly replicaId: string }
  /** Removes a voter or learner. */
  | { readonly type: "RemoveReplica"; readonly replicaId: string };

/** An input event of a replica. */
export type ConsensusEvent =
  | {
    readonly type: "MessageReceived";
    readonly from: string;
    readonly message: ConsensusMessage;
  }
  /** Time has passed; sent several times per heartbeat interval. */
  | { readonly type: "Ticked" }
  /** A `requestId` is unique at its replica, also across restarts. */
  | {
    readonly type: "PayloadProposed";
    readonly requestId: string;
    readonly payload: Uint8Array;
  }
  /** This and every earlier persist effect has been synced. */
  | { readonly type: "PersistCompleted"; readonly persistId: number }
  /** The state machine was encoded after it applied the entry `lastIndex`. */
  | {
    readonly type: "SnapshotTaken";
    readonly lastIndex: number;
    readonly payload: Uint8Array;
  }
  | { readonly type: "ReadRequested"; readonly requestId: string }
  | {
    readonly type: "ConfigurationChangeProposed";
    readonly requestId: string;
    readonly change: ConfigurationChange;
  }
  /**
   * Requested before a planned stop; the leader selects the voter if undefined.
   */
  | {
    readonly type: "LeadershipTransferRequested";
    readonly targetId: string | undefined;
  };

/** Why a proposal or a read failed. */
export type ConsensusFailure =
  /** Not appended; `leaderId` is a hint, undefined if unknown. */
  | { readonly type: "NotLeader"; readonly leaderId: string | undefined }
  /**
   * Appended, then leadership was lost: the proposal may still be committed.
   */
  | { readonly type: "OutcomeUnknown" }
  /**
   * Not appended: too many pending proposals or reads, or payload too large.
   */
  | { readonly type: "Overloaded" }
  /** Not appended: a leadership transfer is in progress. */
  | { readonly type: "Transferring" }
  /**
   * Not appended: an earlier change, or the first entry of the term, is
   * uncommitted.
   */
  | { readonly type: "ChangePending" }
  /** Not appended: the learner to promote has not caught up. */
  | { readonly type: "NotCaughtUp" }
  /** Not appended: the change does not apply to the configuration. */
  | { readonly type: "InvalidChange" }
  /** The read was not confirmed by a quorum within `readTimeoutMs`. */
  | { readonly type: "TimedOut" };

/** A committed command to be applied to the state machine. */
export interface CommittedCommand {
  readonly index: number;
  readonly term: number;
  /** The payload as it was proposed. */
  readonly payload: Uint8Array;
}

/** An effect of a replica. Effects are performed in order. */
export type ConsensusEffect =
  | {
    readonly type: "SendMessage";
    readonly to: string;
    readonly message: ConsensusMessage;
  }
  /**
   * Truncates, appends and writes the hard state, in that order, and syncs.
   * Answered by PersistCompleted. Persist effects are performed in order.
   */
  | {
    readonly type: "PersistLog";
    readonly persistId: number;
    /** Undefined if unchanged. */
    readonly hardState: HardState | undefined;
    /**
     * Entries from this index on are removed before appending; undefined for
     * none.
     */
    readonly truncateFrom: number | undefined;
    readonly entries: readonly LogEntry[];
  }
  /**
   * Replaces the snapshot and drops the log up to its last index. Answered by
   * PersistCompleted. With `discardsLog`, the entries after it are dropped too,
   * atomically with the snapshot: no crash may leave them after it.
   */
  | {
    readonly type: "PersistSnapshot";
    readonly persistId: number;
    readonly snapshot: Snapshot;
    readonly discardsLog: boolean;
  }
  /**
   * Applies committed commands, in order. `lastIndex` is the last index
   * applied, including entries without a command.
   */
  | {
    readonly type: "ApplyEntries";
    readonly lastIndex: number;
    readonly commands: readonly CommittedCommand[];
  }
  /** Replaces the state machine by that of the snapshot. */
  | { readonly type: "InstallSnapshot"; readonly snapshot: Snapshot }
  /** Encodes the current state machine. Answered by SnapshotTaken. */
  | { readonly type: "TakeSnapshot"; readonly lastIndex: number }
  /** Emitted after the ApplyEntries that contains the command. */
  | {
    readonly type: "ProposalCommitted";
    readonly requestId: string;
    readonly index: number;
  }
  | {
    readonly type: "ProposalFailed";
    readonly requestId: string;
    readonly failure: ConsensusFailure;
  }
  /** The read may be answered from the current state machine. */
  | {
    readonly type: "ReadReady";
    readonly requestId: string;
    readonly readIndex: number;
  }
  | {
    readonly type: "ReadFailed";
    readonly requestId: string;
    readonly failure: ConsensusFailure;
  }
  | {
    readonly type: "LeaderChanged";
    readonly term: number;
    /** Undefined if no leader is known. */
    readonly leaderId: string | undefined;
  }
  | {
    readonly type: "ConfigurationChanged";
    readonly index: number;
    readonly configuration: Configuration;
  }
  /**
   * Emitted by the leader: the replica has not answered for `silentAfterMs`.
   */
  | {
    readonly type: "ReplicaSilent";
    readonly replicaId: string;
    readonly silentForMs: number;
  }
  /** Emitted by the leader: a silent replica has answered again. */
  | { readonly type: "ReplicaHeard"; readonly replicaId: string }
  /** The leadership transfer timed out; the leader continues. */
  | { readonly type: "TransferExpired"; readonly targetId: string };
