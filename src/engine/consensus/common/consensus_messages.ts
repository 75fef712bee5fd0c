/** Messages between the replicas of one replica set (Raft; Ongaro 2014). */
import type { Configuration, LogEntry } from "./log_types.ts";

/** A message; `term` is the sender's, except in a PreVoteRequest. */
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

/**
 * Asks whether the receiver would vote for the sender, without raising the
 * term.
 */
export interface PreVoteRequest {
  readonly type: "PreVoteRequest";
  /** The term in which the sender would be a candidate. */
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a pre-vote request; does not bind the sender. */
export interface PreVoteResponse {
  readonly type: "PreVoteResponse";
  readonly term: number;
  /** `term` of the request. */
  readonly proposedTerm: number;
  readonly isGranted: boolean;
}

/** Asks for the receiver's vote in `term`. */
export interface VoteRequest {
  readonly type: "VoteRequest";
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /**
   * Whether the leader ordered the election: leader stickiness does not apply.
   */
  readonly isTransfer: boolean;
}

/** Answers a vote request; sent only once the vote is synced. */
export interface VoteResponse {
  readonly type: "VoteResponse";
  readonly term: number;
  readonly isGranted: boolean;
}

/** Entries after `previousIndex`; a heartbeat if there are none. */
export interface AppendRequest {
  readonly type: "AppendRequest";
  readonly term: number;
  /** Heartbeat round; incremented by the leader and echoed in the answer. */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Answers an append request; sent only once earlier writes are synced. */
export interface AppendResponse {
  readonly type: "AppendResponse";
  readonly term: number;
  readonly round: number;
  readonly isAccepted: boolean;
  /** If accepted: last index up to which the log matches the leader's. */
  readonly matchIndex: number;
  /** If refused: first index of the conflicting term, or last index + 1. */
  readonly conflictIndex: number;
  /** If refused: the conflicting term; undefined if the log is too short. */
  readonly conflictTerm: number | undefined;
}

/**
 * A chunk of a snapshot, for a replica that lacks entries no longer in the log.
 */
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

/** Requests the next chunk of the snapshot that ends at `lastIndex`. */
export interface SnapshotChunkResponse {
  readonly type: "SnapshotChunkResponse";
  readonly term: number;
  readonly round: number;
  readonly lastIndex: number;
  readonly nextOffsetBytes: number;
}

/**
 * Orders a voter to start an election at once, to transfer leadership to it.
 */
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

/** Answers a read request, once the leader has confirmed its leadership. */
export interface ReadIndexResponse {
  readonly type: "ReadIndexResponse";
  readonly term: number;
  readonly requestId: string;
  /** Undefined if the leader could not confirm its leadership. */
  readonly readIndex: number | undefined;
}
