/** State, options and roles of one replica. */
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ConsensusEffect } from "./consensus_events.ts";
import type { ConsensusMessage } from "./consensus_messages.ts";
import type { ConsensusRules } from "./consensus_rules.ts";
import type { Configuration, LogEntry, Snapshot } from "./log_types.ts";

/** Timeouts and limits of a replica set; the same at all its replicas. */
export interface ConsensusOptions {
  /** Interval between heartbeat rounds. */
  readonly heartbeatMs: number;
  /**
   * Minimum interval between a heartbeat round for reads and the round before.
   */
  readonly readGatherMs: number;
  /** Election timeouts are drawn between this and twice this. */
  readonly electionTimeoutMs: number;
  /**
   * The same for a replica that has received no leader message since its start;
   * doubled with each attempt, up to `electionTimeoutMs`.
   */
  readonly firstElectionTimeoutMs: number;
  /** A replica that has not answered for this long is reported as silent. */
  readonly silentAfterMs: number;
  readonly readTimeoutMs: number;
  /** Maximum number of entries in one message. */
  readonly maxBatchEntries: number;
  /** Maximum payload of one message; a single entry may exceed it. */
  readonly maxBatchBytes: number;
  /** Maximum number of proposals not yet committed. */
  readonly maxPendingProposals: number;
  /** Maximum reads pending at the leader, or forwarded by a replica. */
  readonly maxPendingReads: number;
  /** Maximum size of one proposed command. */
  readonly maxPayloadBytes: number;
  readonly snapshotChunkBytes: number;
  /** Number of committed entries after which a snapshot is taken. */
  readonly snapshotEveryEntries: number;
  /** Payload of committed entries after which a snapshot is taken. */
  readonly snapshotEveryBytes: number;
  /**
   * Entries retained in memory after a snapshot covers them, for slow replicas.
   */
  readonly trailingEntries: number;
  /** Maximum payload of these entries. */
  readonly trailingBytes: number;
  /** Maximum number of unacknowledged entries sent to one replica. */
  readonly maxInFlightEntries: number;
}

/** The in-memory log: the entries after `baseIndex`. */
export interface ReplicatedLog {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly LogEntry[];
}

/** The leader's view of another replica. */
export interface ReplicaProgress {
  /** Highest index up to which the replica's log matches the leader's. */
  readonly matchIndex: number;
  /** Index of the next entry to send. */
  readonly nextIndex: number;
  /** The matching index is unknown: at most one message per heartbeat. */
  readonly isProbing: boolean;
  /** Time of the last answer; initially the time at which tracking started. */
  readonly lastReceivedAtMs: number;
  /** Highest heartbeat round that the replica acknowledged. */
  readonly ackedRound: number;
  /** Whether the replica has been reported as silent. */
  readonly isSilent: boolean;
  /** Offset of the next chunk in the snapshot being sent. */
  readonly snapshotOffsetBytes: number;
  /** Last index of the snapshot being sent; 0 if none. */
  readonly snapshotIndex: number;
}

/** A proposal not yet committed. */
export interface PendingProposal {
  readonly requestId: string;
  readonly index: number;
}

/** A read at the leader, waiting for its heartbeat round. */
export interface PendingRead {
  readonly requestId: string;
  /** The replica that forwarded the read; undefined if it is local. */
  readonly from: string | undefined;
  /** Heartbeat round whose acknowledgement by a quorum confirms the read. */
  readonly round: number;
  /**
   * Commit index to read at; undefined until an entry of this term is
   * committed.
   */
  readonly readIndex: number | undefined;
  readonly requestedAtMs: number;
}

/** A leadership transfer in progress. */
export interface Transfer {
  readonly targetId: string;
  /** When the transfer is abandoned. */
  readonly deadlineMs: number;
  readonly isElectionOrderSent: boolean;
}

/** A replica that accepts entries from a leader, or waits for one. */
export interface FollowerRole {
  readonly type: "Follower";
  readonly leaderId: string | undefined;
}

/** A replica that requests votes (Candidate) or pre-votes (PreCandidate). */
export interface CandidateRole {
  readonly type: "PreCandidate" | "Candidate";
  readonly votes: ReadonlySet<string>;
}

/** The leader of a term, the only replica that appends entries in it. */
export interface LeaderRole {
  readonly type: "Leader";
  readonly progress: ReadonlyMap<string, ReplicaProgress>;
  /** Index of the first entry that the leader appended in its term. */
  readonly firstIndex: number;
  /** The last heartbeat round started. */
  readonly round: number;
  readonly lastHeartbeatAtMs: number;
  /** When this replica became leader. */
  readonly startedAtMs: number;
  readonly proposals: readonly PendingProposal[];
  readonly reads: readonly PendingRead[];
  readonly transfer: Transfer | undefined;
}

/** The role of a replica in its term. */
export type Role = FollowerRole | CandidateRole | LeaderRole;

/** A message to be sent once the write `persistId` is synced. */
export interface DeferredMessage {
  readonly persistId: number;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** Writes submitted to the disk, and which of them are synced. */
export interface Persistence {
  /** Id of the last write submitted. */
  readonly lastId: number;
  /** Id of the last write synced. */
  readonly completedId: number;
  /** Last log index as of each write not yet completed. */
  readonly pending: readonly {
    readonly persistId: number;
    readonly lastIndex: number;
  }[];
  /** Last log index that is synced. */
  readonly durableIndex: number;
  readonly deferredMessages: readonly DeferredMessage[];
}

/** A snapshot of which not all chunks have arrived. */
export interface IncomingSnapshot {
  readonly term: number;
  readonly lastIndex: number;
  readonly receivedBytes: number;
  readonly chunks: readonly Uint8Array[];
}

/** A local read forwarded to the leader. */
export interface ForwardedRead {
  readonly requestId: string;
  readonly requestedAtMs: number;
  /** Undefined until the leader has answered. */
  readonly readIndex: number | undefined;
}

/** Derives a clock that never goes back from one that may jump back. */
export interface ReplicaClock {
  /** Time passed with the last event. */
  readonly nowMs: number;
  /**
   * Sum of the forward steps; all other times of the state are on this clock.
   */
  readonly elapsedMs: number;
}

/** The state of one replica; all times are `clock.elapsedMs`. */
export interface ConsensusState {
  readonly replicaId: string;
  readonly options: ConsensusOptions;
  readonly clock: ReplicaClock;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly role: Role;
  readonly log: ReplicatedLog;
  readonly snapshot: Snapshot | undefined;
  /** The newest configuration in the log, committed or not. */
  readonly configuration: Configuration;
  readonly configurationIndex: number;
  /** Last index that is committed, and applied. */
  readonly commitIndex: number;
  /** Last index of the most recently requested snapshot. */
  readonly requestedSnapshotIndex: number;
  readonly persistence: Persistence;
  /**
   * Time of the last message from a leader; undefined if none since the start.
   */
  readonly lastLeaderMessageAtMs: number | undefined;
  /** When this replica starts an election unless a leader message arrives. */
  readonly electionDeadlineMs: number;
  /** The election timeout in use; redrawn for each election attempt. */
  readonly drawnElectionTimeoutMs: number;
  /** Number of timeouts drawn; makes those of one term differ. */
  readonly electionAttempts: number;
  readonly incomingSnapshot: IncomingSnapshot | undefined;
  readonly forwardedReads: readonly ForwardedRead[];
}

/** A step of a replica. */
export type ConsensusStep = Reduction<ConsensusState, ConsensusEffect>;

/** Input of a step besides state and event. */
export interface StepContext {
  /** The replica's elapsed time, which never goes back. */
  readonly nowMs: number;
  readonly rules: ConsensusRules;
}
