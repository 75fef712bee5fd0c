/** The state of one replica. */
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ConsensusEffect } from "./consensus_events.ts";
import type { ConsensusMessage } from "./consensus_messages.ts";
import type { ConsensusRules } from "./consensus_rules.ts";
import type { Configuration, LogEntry, Snapshot } from "./log_types.ts";

/** Times and bounds of a replica set; the same at all its replicas. */
export interface ConsensusOptions {
  readonly heartbeatMs: number;
  /** A heartbeat round for reads begins so long after any other at least. */
  readonly readGatherMs: number;
  /** Election timeouts are drawn from this up to twice this. */
  readonly electionTimeoutMs: number;
  /**
   * The same for a replica that has heard no leader since its start; doubled
   * with each attempt, up to `electionTimeoutMs`.
   */
  readonly firstElectionTimeoutMs: number;
  /** A replica not heard from for this long is reported as silent. */
  readonly silentAfterMs: number;
  readonly readTimeoutMs: number;
  /** Entries in one message. */
  readonly maxBatchEntries: number;
  /** Payload of one message, but that one entry always fits. */
  readonly maxBatchBytes: number;
  /** Proposals that wait for their commit. */
  readonly maxPendingProposals: number;
  readonly maxPendingReads: number;
  readonly maxPayloadBytes: number;
  readonly snapshotChunkBytes: number;
  /** Applied entries from one snapshot to the next. */
  readonly snapshotEveryEntries: number;
  /** Entries kept in memory behind a snapshot, for slow replicas. */
  readonly trailingEntries: number;
  /** Entries on their way to one replica, unanswered. */
  readonly maxInFlightEntries: number;
}

/** The log in memory: the entries after `baseIndex`. */
export interface ReplicatedLog {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly LogEntry[];
}

/** What the leader knows of another replica. */
export interface ReplicaProgress {
  readonly matchIndex: number;
  readonly nextIndex: number;
  /** Where the logs meet isn't known: one message per heartbeat. */
  readonly isProbing: boolean;
  readonly heardAtMs: number;
  /** Highest heartbeat round that it answered. */
  readonly ackedRound: number;
  readonly isSilent: boolean;
  /** Next byte of the snapshot that is sent. */
  readonly snapshotOffsetBytes: number;
  /** Last index of the snapshot that is sent; 0 for none. */
  readonly snapshotIndex: number;
}

/** A proposal that waits for its commit. */
export interface PendingProposal {
  readonly requestId: string;
  readonly index: number;
}

/** A read that waits for its heartbeat round. */
export interface PendingRead {
  readonly requestId: string;
  /** The replica that asked; undefined for this one. */
  readonly from: string | undefined;
  readonly round: number;
  /** Undefined until an entry of this term is committed. */
  readonly readIndex: number | undefined;
  readonly requestedAtMs: number;
}

/** Leadership on its way to another voter. */
export interface Transfer {
  readonly targetId: string;
  readonly deadlineMs: number;
  readonly isOrdered: boolean;
}

/** A replica that takes entries from a leader, or waits for one. */
export interface FollowerRole {
  readonly type: "Follower";
  readonly leaderId: string | undefined;
}

/** A replica that asks for votes, or first whether it would get them. */
export interface CandidateRole {
  readonly type: "PreCandidate" | "Candidate";
  readonly votes: ReadonlySet<string>;
}

/** The replica that appends entries in its term. */
export interface LeaderRole {
  readonly type: "Leader";
  readonly progress: ReadonlyMap<string, ReplicaProgress>;
  /** Index of the entry that opened the term. */
  readonly firstIndex: number;
  readonly round: number;
  readonly heartbeatAtMs: number;
  readonly sinceMs: number;
  readonly proposals: readonly PendingProposal[];
  readonly reads: readonly PendingRead[];
  readonly transfer: Transfer | undefined;
}

/** What a replica is in its term. */
export type Role = FollowerRole | CandidateRole | LeaderRole;

/** A message that leaves once `persistId` is synced. */
export interface HeldMessage {
  readonly persistId: number;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** What was handed to the disk, and what is known to be synced. */
export interface Persistence {
  readonly lastId: number;
  readonly completedId: number;
  /** Log ends as of each persist that is not yet completed. */
  readonly pending: readonly {
    readonly persistId: number;
    readonly lastIndex: number;
  }[];
  /** The log is synced up to here. */
  readonly durableIndex: number;
  readonly held: readonly HeldMessage[];
}

/** A snapshot of which not all pieces have come. */
export interface IncomingSnapshot {
  readonly term: number;
  readonly lastIndex: number;
  readonly receivedBytes: number;
  readonly chunks: readonly Uint8Array[];
}

/** A read passed on to the leader. */
export interface ForwardedRead {
  readonly requestId: string;
  readonly requestedAtMs: number;
  /** Undefined until the leader answered. */
  readonly readIndex: number | undefined;
}

/** Turns a clock that may jump back into one that doesn't. */
export interface ReplicaClock {
  /** The time that came with the last event. */
  readonly nowMs: number;
  /** The sum of the steps forward; every other time is on this clock. */
  readonly elapsedMs: number;
}

/** The state of one replica. */
export interface ConsensusState {
  readonly replicaId: string;
  readonly options: ConsensusOptions;
  readonly clock: ReplicaClock;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly role: Role;
  readonly log: ReplicatedLog;
  readonly snapshot: Snapshot | undefined;
  /** The newest in the log, committed or not. */
  readonly configuration: Configuration;
  readonly configurationIndex: number;
  /** Entries up to here are committed, and applied. */
  readonly commitIndex: number;
  /** Last index of the snapshot that was asked for. */
  readonly snapshotAskedIndex: number;
  readonly persistence: Persistence;
  /** When a leader was last heard, in milliseconds. */
  readonly leaderHeardAtMs: number | undefined;
  readonly electionDeadlineMs: number;
  /** The timeout drawn last; it holds until the next campaign. */
  readonly electionWaitMs: number;
  /** Makes the timeouts of one term differ. */
  readonly electionAttempts: number;
  readonly incoming: IncomingSnapshot | undefined;
  readonly forwardedReads: readonly ForwardedRead[];
}

/** A step of a replica. */
export type ConsensusStep = Reduction<ConsensusState, ConsensusEffect>;

/** What a step is made with, besides state and event. */
export interface StepContext {
  /** The replica's own clock, which never jumps back. */
  readonly nowMs: number;
  readonly rules: ConsensusRules;
}
