/** The state of one replica of the table, its events and its effects. */
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ConsensusEffect } from "../../consensus/common/consensus_events.ts";
import { DEFAULT_CONSENSUS_OPTIONS } from "../../consensus/common/consensus_options.ts";
import type {
  ConsensusOptions,
  ConsensusState,
} from "../../consensus/common/consensus_types.ts";
import type { Configuration } from "../../consensus/common/log_types.ts";
import type {
  ClusterMessage,
  EditEntry,
  EditResult,
  ReplicaRole,
} from "../../link/common/cluster_messages.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type {
  TableEdit,
  TableState,
} from "../../table/common/table_reducer.ts";
import type { TimelineEvent } from "../../telemetry/common/timeline_event.ts";
import type { CrashCommand } from "../../quarantine/common/crash_messages.ts";
import type { CrashRecords } from "./crash_records.ts";
import type { HoldersState } from "./holders.ts";
import type { ReadRounds } from "./routes_proof.ts";
import type { RoutesRecord } from "./routes_record.ts";

/** The configured replicas, by their ids in the settings. */
export interface Cluster {
  /** This replica. */
  readonly self: string;
  /** The initial voters; the first one bootstraps the set. */
  readonly voters: readonly string[];
  /** All other replicas known at the start. */
  readonly peers: readonly string[];
  /** Set if replicas discover each other; their ids are then link addresses. */
  readonly discovery?: Discovery;
}

/** Settings of the replica set if replicas discover each other. */
export interface Discovery {
  /** Maximum number of voters; learners are promoted up to it. */
  readonly maxVoters: number;
  /** Silence after which a learner that has caught up replaces a voter. */
  readonly replaceAfterMs: number;
  /** Interval at which a replica confirms that its state is current. */
  readonly confirmEveryMs: number;
  /** Time for which a confirmation is valid. */
  readonly confirmValidMs: number;
}

/** Another replica, by its last hello; times are of the steady clock, in ms. */
export interface Peer {
  /** Id of its data folder; undefined before its first hello. */
  readonly replicaId: string | undefined;
  /** Whether nothing was ever written to its disk. */
  readonly isEmpty: boolean;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly commitIndex: number;
  /** When its last hello was received; before the first, when it was added. */
  readonly lastReceivedAtMs: number;
  readonly isSilent: boolean;
}

/** The sender of an edit, to which its result is returned. */
export type EditOrigin =
  | { readonly type: "Operator"; readonly requestId: number }
  | {
    readonly type: "Peer";
    readonly peer: string;
    readonly requestId: string;
  };

/** An edit that wasn't answered yet; times are of the steady clock, in ms. */
export interface PendingEdit {
  readonly edit: TableEdit;
  readonly origin: EditOrigin;
  readonly deadlineMs: number;
  /**
   * Replica id of the leader it was sent to; undefined while waiting for one.
   */
  readonly sentTo: string | undefined;
  readonly sentAtMs: number;
  /** Whether an earlier attempt may still be committed. */
  readonly isUnknown: boolean;
}

/** An operator's read that wasn't answered yet. */
export interface PendingTableRead {
  /** The operator's request. */
  readonly requestId: number;
  /** Steady clock in milliseconds. */
  readonly deadlineMs: number;
  /** Whether it waits for a leader. */
  readonly isWaiting: boolean;
}

/**
 * Confirmation that the table of this replica is current: a linearizable read
 * that a quorum confirmed. Times are of the steady clock, in milliseconds.
 */
export interface Confirmation {
  /** The read in progress; undefined without one. */
  readonly requestId: string | undefined;
  /** Start of the last read, or this replica's start. */
  readonly startedAtMs: number;
  /** Start of the last confirmed read; undefined before the first one. */
  readonly confirmedAtMs: number | undefined;
  /** Whether the next read is to start as soon as possible. */
  readonly isRequested: boolean;
  readonly rounds: ReadRounds;
}

/** The state of one replica of the table. */
export interface ReplicationState {
  readonly cluster: Cluster;
  readonly consensus: ConsensusState;
  /** The table as of the commit index. */
  readonly tableState: TableState;
  /** The holder sets as of the commit index, by service. */
  readonly holders: HoldersState;
  /** Evidence against requests as of the commit index, by service. */
  readonly crashes: CrashRecords;
  /** The edits that this replica as leader applied in its last step. */
  readonly lastApplied: readonly EditEntry[];
  /** Names of the unanswered commands that this replica proposed, by request. */
  readonly commandProposals: ReadonlyMap<string, string>;
  /** The other replicas, by id in the settings. */
  readonly peers: ReadonlyMap<string, Peer>;
  /** Unanswered edits, by request. */
  readonly edits: ReadonlyMap<string, PendingEdit>;
  /** Unanswered reads, by request. */
  readonly reads: ReadonlyMap<string, PendingTableRead>;
  readonly confirmation: Confirmation;
  /** Whether the bootstrap snapshot is being written to disk. */
  readonly isStoringBootstrap: boolean;
  /** Replica ids of the voters as of the last recorded configuration. */
  readonly voters: readonly string[];
  /** When the last hello was sent; steady clock in milliseconds. */
  readonly lastHelloAtMs: number;
  /** Steady clock in milliseconds. */
  readonly startedAtMs: number;
  /** Number of the next request id, from 1. */
  readonly nextRequest: number;
}

/** An event at the replica. */
export type ReplicationEvent =
  | {
    readonly type: "ClusterMessageReceived";
    readonly message: ClusterMessage;
  }
  | { readonly type: "PersistCompleted"; readonly persistId: number }
  | {
    readonly type: "FoundingStored";
    readonly configuration: Configuration;
  }
  | {
    readonly type: "EditRequested";
    readonly requestId: number;
    readonly edit: TableEdit;
  }
  /** A node reported that it copied a set, or the leader planned a change. */
  | {
    readonly type: "HolderChangeRequested";
    readonly command: HolderCommand;
  }
  /** A node or an operator reports evidence against requests. */
  | {
    readonly type: "CrashReportReceived";
    readonly command: CrashCommand;
  }
  | { readonly type: "TableReadRequested"; readonly requestId: number }
  /** Requests at a node wait for a proof that the table is current. */
  | { readonly type: "ProofWanted" }
  /** The settings name replicas from which the others can be discovered. */
  | { readonly type: "SeedsLearned"; readonly seeds: readonly string[] }
  /** The process will stop: a leader transfers leadership to another voter. */
  | { readonly type: "StopPlanned" }
  | { readonly type: "ReplicationTicked" };

/** An effect of the replica. */
export type ReplicationEffect =
  | {
    readonly type: "SendToPeer";
    /** Id in the settings. */
    readonly peer: string;
    readonly message: ClusterMessage;
  }
  | Extract<ConsensusEffect, { type: "PersistLog" | "PersistSnapshot" }>
  /** Stores the bootstrap snapshot; answered by `FoundingStored`. */
  | {
    readonly type: "StoreFounding";
    readonly configuration: Configuration;
  }
  /** Opens or closes a link to a discovered replica. */
  | { readonly type: "LinkPeer"; readonly peer: string }
  | { readonly type: "UnlinkPeer"; readonly peer: string }
  | {
    readonly type: "AnswerEdit";
    readonly requestId: number;
    readonly result: EditResult;
  }
  /** Answers a read; the table of this replica may be read if `isCurrent`. */
  | {
    readonly type: "AnswerRead";
    readonly requestId: number;
    readonly isCurrent: boolean;
  }
  | { readonly type: "RecordEvent"; readonly event: TimelineEvent }
  /** The log has decided on a change of the routes. */
  | { readonly type: "RecordRoutes"; readonly record: RoutesRecord };

/** A state of the replica and the effects of reaching it. */
export type ReplicationStep = Reduction<ReplicationState, ReplicationEffect>;

/**
 * Maximum size of an encoded edit: below the maximum message of a link, and
 * enough for routes whose text has 1.5 MB.
 */
export const MAX_EDIT_BYTES = 3_670_016;
/** Timeouts and limits of consensus. */
export const CONSENSUS_OPTIONS: ConsensusOptions = {
  ...DEFAULT_CONSENSUS_OPTIONS,
  maxPayloadBytes: MAX_EDIT_BYTES,
};

/** Interval at which a replica sends hellos to its peers. */
export const HELLO_INTERVAL_MS = 500;
/** Silence after which a peer is reported as silent. */
export const PEER_SILENCE_LIMIT_MS = 3_000;
/** Silence after which a peer outside the replica set is removed. */
export const PEER_RETENTION_MS = 20_000;
/** Time within which an edit or a read must be answered. */
export const REQUEST_TIMEOUT_MS = 6_000;
/**
 * Time after which an edit that the leader didn't answer is forwarded again.
 */
export const FORWARD_RETRY_MS = 1_500;
/** Default interval at which a replica confirms that its table is current. */
export const CONFIRM_INTERVAL_MS = 1_000;
/** Default time for which a confirmation is valid. */
export const CONFIRMATION_TTL_MS = 3_000;

/** Parses the id in the settings from a replica id. */
export function parseSettingsId(replicaId: string): string {
  const end = replicaId.lastIndexOf("~");
  return end < 0 ? replicaId : replicaId.slice(0, end);
}

/** Creates an id for a proposal or a read; it is unique across restarts. */
export function createRequestId(state: ReplicationState): string {
  return `${state.startedAtMs}.${state.nextRequest}`;
}

/** Whether this replica has a valid confirmation that its table is current. */
export function isConfirmed(state: ReplicationState, nowMs: number): boolean {
  const { confirmedAtMs } = state.confirmation;
  const validMs = state.cluster.discovery?.confirmValidMs ??
    CONFIRMATION_TTL_MS;
  return confirmedAtMs !== undefined && nowMs >= confirmedAtMs &&
    nowMs - confirmedAtMs <= validMs;
}

/** Gets the role of this replica in the set. */
export function getRole({ consensus }: ReplicationState): ReplicaRole {
  const { configuration, replicaId, role } = consensus;
  if (role.type === "Leader") {
    return "leader";
  }
  if (configuration.voters.includes(replicaId)) {
    return "follower";
  }
  return configuration.learners.includes(replicaId) ? "learner" : "joining";
}
