/**
 * What consensus stores on disk: the contract between its reducer and storage.
 */

/** One entry of the replicated log. */
export interface LogEntry {
  /** Position in the log, from 1. */
  readonly index: number;
  /** Term of the leader that appended it. */
  readonly term: number;
  /** The encoded content; empty for the first entry of a term. */
  readonly payload: Uint8Array;
}

/** Term and vote; must be synced before a vote or an answer is sent. */
export interface HardState {
  readonly term: number;
  /** Replica voted for in `term`; undefined if none. */
  readonly votedFor: string | undefined;
}

/** The members: voters form quorums; learners only receive the log. */
export interface Configuration {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** The state machine after entry `lastIndex`; replaces the log up to it. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly configuration: Configuration;
  /** The encoded state machine. */
  readonly payload: Uint8Array;
}

/** What a replica reads from its disk at start. */
export interface Recovered {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot, in order. */
  readonly entries: readonly LogEntry[];
}
