/** What call handling needs to know of the event loop of its process. */

/** Reports the lag of the event loop and defers work while it lags. */
export interface CallLoop {
  /**
   * Upper bound on how long bytes that are read now have waited in their
   * sockets, in milliseconds.
   */
  readonly lagMs: number;
  /**
   * Runs `run`: at once, or while the loop lags only after pending bytes and
   * closes of the sockets have been read.
   */
  readonly runAfterPendingReads: (run: () => void) => void;
}
