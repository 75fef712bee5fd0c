/** Decides until when a connection without a request is held in a drain. */

/**
 * Time from acceptance in which a new connection may send its first request
 * although the drain closes connections. A caller on this VM sends it at once,
 * but a busy VM may not run the caller for some tens of milliseconds. Together
 * with the notice of a drain (2,500 ms) and the time for accepting what is
 * queued (250 ms) it stays below 3 s, which leaves the rest of the grace period
 * to the requests taken last.
 */
export const NEW_CONNECTION_MS = 200;

/** A connection, as far as the decision takes it into account. */
export interface HeldConnection {
  /** Whether a request has been received on it. */
  readonly hasReceived: boolean;
  /** When it was accepted, by the steady clock. */
  readonly acceptedAtMs: number;
}

/**
 * Computes how long a drain still waits for the first request of a connection,
 * in milliseconds; 0 if the connection is to be closed as soon as it is idle.
 */
export function computeFirstRequestWaitMs(
  { hasReceived, acceptedAtMs }: HeldConnection,
  nowMs: number,
): number {
  return hasReceived
    ? 0
    : Math.max(0, acceptedAtMs + NEW_CONNECTION_MS - nowMs);
}
