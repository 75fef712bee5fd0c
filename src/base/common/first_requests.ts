/** The first requests of connections, as listeners see them. */

/** Where they wait until the close that may lie behind them has been read. */
export interface FirstRequestQueue {
  /** Longest time that a connection read now can have waited, in milliseconds. */
  readonly queuedMs: number;
  /** Runs `run` once that close would have been read; in order of arrival. */
  readonly enqueue: (run: () => void) => void;
}
