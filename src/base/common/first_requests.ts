/** Queueing of the first request of each connection, for listeners. */

/**
 * Queues the first request of each connection until a close by its caller that
 * follows the request in the socket has been read.
 */
export interface FirstRequestQueue {
  /**
   * Upper bound on how long a connection that is accepted now has waited in the
   * listen backlog, in milliseconds.
   */
  readonly queuedMs: number;
  /** Runs `run` once such a close would have been read; first in, first out. */
  readonly enqueue: (run: () => void) => void;
}
