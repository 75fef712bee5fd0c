/** The event loop as calls see it. */

/** How far it is behind, and how work waits until it no longer is. */
export interface CallLoop {
  /** Longest time that what is read now may have been there, in milliseconds. */
  readonly lagMs: number;
  /** Runs `run`, where the loop is behind only once what lay unread is read. */
  readonly runAfterPendingReads: (run: () => void) => void;
}
