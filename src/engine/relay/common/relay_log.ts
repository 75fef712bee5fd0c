/**
 * Log of the relay: one line for each decision on a request, and for each
 * change in what the node assumes of other processes.
 */

/** A log line: the event, its inputs and its outcome. */
export interface RelayLine {
  readonly event: string;
  /** Lines of failures take precedence if not all lines can be written. */
  readonly isFailure: boolean;
  readonly [name: string]: unknown;
}

/** Destination of log lines. */
export interface RelayLog {
  readonly write: (line: RelayLine) => void;
}
