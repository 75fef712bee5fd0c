/** What happens to a replica, and what it does about it. */
import type { ConsensusMessage } from "./consensus_messages.ts";
import type {
  Configuration,
  HardState,
  LogEntry,
  Snapshot,
} from "./log_types.ts";

/** A membership change; each moves one replica by one step. */
export type ConfigurationChange =
  /** A new replica begins to listen; it counts for nothing. */
  | { readonly type: "AddLearner"; readonly replicaId: string }
  /** A learner that has caught up begins to count. */
  | { readonly type: "PromoteLearner"; readonly replicaId: string }
  /** A voter or learner leaves. */
  | { readonly type: "RemoveReplica"; readonly replicaId: string };

/** What happens to a replica. */
export type ConsensusEvent =
  | {
    readonly type: "MessageReceived";
    readonly from: string;
    readonly message: ConsensusMessage;
  }
  /** Time passed; comes several times per heartbeat interval. */
  | { readonly type: "Ticked" }
  /** A `requestId` is unique at its replica, over restarts too. */
  | {
    readonly type: "PayloadProposed";
    readonly requestId: string;
    readonly payload: Uint8Array;
  }
  /** This and every earlier persist effect is synced. */
  | { readonly type: "PersistCompleted"; readonly persistId: number }
  /** The state machine was encoded as of the applied entry `lastIndex`. */
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
  /** A planned stop; the leader picks the voter where none is named. */
  | {
    readonly type: "LeadershipTransferRequested";
    readonly targetId: string | undefined;
  };

/** Why a proposal or a read failed. */
export type ConsensusFailure =
  /** Not appended; `leaderId` is a hint. */
  | { readonly type: "NotLeader"; readonly leaderId: string | undefined }
  /** Appended, then leadership was lost: it may yet be committed. */
  | { readonly type: "OutcomeUnknown" }
  /** Not appended: too many proposals wait, or the payload is too large. */
  | { readonly type: "Overloaded" }
  /** Not appended: leadership is being handed over. */
  | { readonly type: "Transferring" }
  /** Not appended: an earlier change isn't committed, or the term is new. */
  | { readonly type: "ChangePending" }
  /** Not appended: the learner to be promoted has not caught up. */
  | { readonly type: "NotCaughtUp" }
  /** Not appended: the change doesn't fit the configuration. */
  | { readonly type: "InvalidChange" }
  /** A read that no quorum confirmed in time. */
  | { readonly type: "TimedOut" };

/** A committed command, for the state machine. */
export interface CommittedCommand {
  readonly index: number;
  readonly term: number;
  /** The payload as it was proposed. */
  readonly payload: Uint8Array;
}

/** What a replica does. Effects are carried out in order. */
export type ConsensusEffect =
  | {
    readonly type: "SendMessage";
    readonly to: string;
    readonly message: ConsensusMessage;
  }
  /**
   * Truncates, appends and writes the hard state, in that order, and syncs;
   * then PersistCompleted. Persist effects are carried out in order.
   */
  | {
    readonly type: "PersistLog";
    readonly persistId: number;
    /** Undefined where unchanged. */
    readonly hardState: HardState | undefined;
    /** Drops the entries from this index on before appending. */
    readonly truncateFrom: number | undefined;
    readonly entries: readonly LogEntry[];
  }
  /**
   * Replaces the snapshot and drops the log up to its last index; then
   * PersistCompleted. With `discardsLog` the entries after it go too, as one
   * atomic step with the snapshot: no crash may leave them behind it.
   */
  | {
    readonly type: "PersistSnapshot";
    readonly persistId: number;
    readonly snapshot: Snapshot;
    readonly discardsLog: boolean;
  }
  /**
   * Applies committed commands, in order. `lastIndex` is the index reached;
   * it counts entries without a command too.
   */
  | {
    readonly type: "ApplyEntries";
    readonly lastIndex: number;
    readonly commands: readonly CommittedCommand[];
  }
  /** Replaces the state machine by the snapshot's. */
  | { readonly type: "InstallSnapshot"; readonly snapshot: Snapshot }
  /** Encodes the state machine as applied now; then SnapshotTaken. */
  | { readonly type: "TakeSnapshot"; readonly lastIndex: number }
  /** Comes after the ApplyEntries that holds the command. */
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
  /** The state machine as applied now may answer the read. */
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
    /** Undefined for none known. */
    readonly leaderId: string | undefined;
  }
  | {
    readonly type: "ConfigurationChanged";
    readonly index: number;
    readonly configuration: Configuration;
  }
  /** Said by the leader: nothing was heard from the replica for a while. */
  | {
    readonly type: "ReplicaSilent";
    readonly replicaId: string;
    readonly silentForMs: number;
  }
  /** Said by the leader: a silent replica is heard again. */
  | { readonly type: "ReplicaHeard"; readonly replicaId: string }
  /** Leadership wasn't handed over in time; the leader serves on. */
  | { readonly type: "TransferExpired"; readonly targetId: string };
