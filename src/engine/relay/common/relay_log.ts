/** One line for each decision that touches a request or a belief. */

/** A line: what happened, its inputs and its outcome. */
export interface RelayLine {
  readonly event: string;
  /** Failures are written before successes where not all can be. */
  readonly isFailure: boolean;
  readonly [name: string]: unknown;
}

/** Where lines go. */
export interface RelayLog {
  readonly write: (line: RelayLine) => void;
}
