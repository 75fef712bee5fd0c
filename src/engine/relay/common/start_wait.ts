/**
 * Time limits for requests that wait until their entry node has received the
 * routes, or the members of a service, after its start.
 *
 * Load pattern: all processes restart, and all callers return in the same
 * second. The nodes already listen, but receive the routes and the backend
 * servers' announcements some tenths of a second later. A request that is
 * refused in this phase is repeated at the same time as all others, while one
 * that waits is served.
 */

/** A request that can't be sent to any node yet. */
export interface StartWait {
  readonly arrivedAtMs: number;
  /** How long the caller waits for its answer in total. */
  readonly callerTimeoutMs: number;
}

/**
 * Longest wait for the routes, or for workspace keys or limits. With a quorum
 * of replicas an election and the confirmation of the routes take less time;
 * without one, waiting is useless.
 */
const MAX_ROUTES_WAIT_MS = 1_500;
/** Longest wait for a first member: nodes announce themselves within it. */
const MAX_MEMBER_WAIT_MS = 500;
/** A request waits for at most 1/3 of its timeout; the rest is for its run. */
const TIMEOUT_DIVISOR = 3;
/**
 * Requests that wait at one node at the same time; each keeps its connection
 * and its head in memory. A node receives some 60 requests a second, in a burst
 * several times as many.
 */
export const MAX_WAITING = 512;

/** Computes the end of a wait for routes, or for workspace keys or limits. */
export function computeRoutesWaitEndMs(wait: StartWait): number {
  return computeWaitEndMs(wait, MAX_ROUTES_WAIT_MS);
}

/** Computes when a request stops waiting for a first member of its service. */
export function computeMemberWaitEndMs(wait: StartWait): number {
  return computeWaitEndMs(wait, MAX_MEMBER_WAIT_MS);
}

function computeWaitEndMs(wait: StartWait, maxWaitMs: number): number {
  return wait.arrivedAtMs +
    Math.min(maxWaitMs, wait.callerTimeoutMs / TIMEOUT_DIVISOR);
}
