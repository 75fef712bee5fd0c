/** What replicas of one replica set say to each other (Raft; Ongaro 2014). */
import type { Configuration, LogEntry } from "./log_types.ts";

/** A message; `term` is the sender's, but for the proposed one of a pre-vote. */
export type ConsensusMessage =
  | PreVoteRequest
  | PreVoteResponse
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | SnapshotChunk
  | SnapshotChunkResponse
  | ElectionOrder
  | ReadIndexRequest
  | ReadIndexResponse;

/** Asks whether an election could be won, before the term is raised. */
export interface PreVoteRequest {
  readonly type: "PreVoteRequest";
  /** The term that the sender would campaign in. */
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a pre-vote; promises nothing. */
export interface PreVoteResponse {
  readonly type: "PreVoteResponse";
  readonly term: number;
  /** The term that was asked about. */
  readonly proposedTerm: number;
  readonly isGranted: boolean;
}

/** Asks for the receiver's vote in `term`. */
export interface VoteRequest {
  readonly type: "VoteRequest";
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Ordered by the leader itself, so that its stickiness doesn't count. */
  readonly isTransfer: boolean;
}

/** Answers a vote request; leaves only once the vote is synced. */
export interface VoteResponse {
  readonly type: "VoteResponse";
  readonly term: number;
  readonly isGranted: boolean;
}

/** Entries after `previousIndex`; a heartbeat where there are none. */
export interface AppendRequest {
  readonly type: "AppendRequest";
  readonly term: number;
  /** Heartbeat round, counted up by the leader and echoed in the answer. */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Answers an append; an accepted one leaves only once the log is synced. */
export interface AppendResponse {
  readonly type: "AppendResponse";
  readonly term: number;
  readonly round: number;
  readonly isAccepted: boolean;
  /** Where accepted: the log equals the leader's up to here. */
  readonly matchIndex: number;
  /** Where refused: first index of the term that conflicts, or log end + 1. */
  readonly conflictIndex: number;
  /** Where refused: the term that conflicts; undefined for a log too short. */
  readonly conflictTerm: number | undefined;
}

/** A piece of a snapshot, for a replica that the log no longer reaches. */
export interface SnapshotChunk {
  readonly type: "SnapshotChunk";
  readonly term: number;
  readonly round: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly configuration: Configuration;
  readonly offsetBytes: number;
  readonly totalBytes: number;
  readonly payload: Uint8Array;
}

/** Names the next piece wanted of the snapshot that ends at `lastIndex`. */
export interface SnapshotChunkResponse {
  readonly type: "SnapshotChunkResponse";
  readonly term: number;
  readonly round: number;
  readonly lastIndex: number;
  readonly nextOffsetBytes: number;
}

/** Tells a voter to campaign at once: the leader hands leadership over. */
export interface ElectionOrder {
  readonly type: "ElectionOrder";
  readonly term: number;
}

/** Asks the leader for an index at which a read is linearizable. */
export interface ReadIndexRequest {
  readonly type: "ReadIndexRequest";
  readonly term: number;
  readonly requestId: string;
}

/** Answers a read request, after the leader confirmed its leadership. */
export interface ReadIndexResponse {
  readonly type: "ReadIndexResponse";
  readonly term: number;
  readonly requestId: string;
  /** Undefined where the leader couldn't confirm it. */
  readonly readIndex: number | undefined;
}
