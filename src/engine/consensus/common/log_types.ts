/** What consensus keeps on disk: the contract between its reducer and storage. */

/** One entry of the replicated log. */
export interface LogEntry {
  /** Position, from 1. */
  readonly index: number;
  /** Term of the leader that appended it. */
  readonly term: number;
  /** The encoded command; empty for the entry that opens a term. */
  readonly payload: Uint8Array;
}

/** What must be synced before a vote or an answer leaves the replica. */
export interface HardState {
  readonly term: number;
  /** Replica voted for in `term`; undefined for none. */
  readonly votedFor: string | undefined;
}

/** The replicas that count, and those that only listen. */
export interface Configuration {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** The state machine up to one entry, in place of the log before it. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly configuration: Configuration;
  /** The encoded state machine. */
  readonly payload: Uint8Array;
}

/** What a replica finds on its disk when it starts. */
export interface Recovered {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot, in order. */
  readonly entries: readonly LogEntry[];
}
