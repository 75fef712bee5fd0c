/**
 * How long requests wait for what their entry node has yet to be told.
 *
 * Load pattern: all processes were started again and all callers come back in
 * the same second, while the nodes listen but hear of the routes and of the
 * backend servers some tenths of a second later. A request that is turned away
 * then comes back once, as one of all; one that waits is served.
 */

/** What is known of a request that can't be sent anywhere yet. */
export interface StartWait {
  readonly arrivedAtMs: number;
  /** How long its caller waits in all. */
  readonly callerTimeoutMs: number;
}

/**
 * Longest wait for routes: an election and a proof of it take less where a
 * quorum of replicas runs, and where none does, waiting serves nobody.
 */
const MAX_ROUTES_WAIT_MS = 1_500;
/** Longest wait for a first member: nodes announce themselves within it. */
const MAX_MEMBER_WAIT_MS = 500;
/** The rest of its time must do for the request itself. */
const PATIENCE_PART = 3;
/**
 * Requests that wait at one node; their heads and connections are held. Some
 * 60 requests a second come to a node, and several times as many at once.
 */
export const MAX_WAITING = 512;

/** Computes until when a request waits for the routes. */
export function computeRoutesWaitEndMs(wait: StartWait): number {
  return computeWaitEndMs(wait, MAX_ROUTES_WAIT_MS);
}

/** Computes until when a request waits for a first member of its service. */
export function computeMemberWaitEndMs(wait: StartWait): number {
  return computeWaitEndMs(wait, MAX_MEMBER_WAIT_MS);
}

function computeWaitEndMs(wait: StartWait, mostMs: number): number {
  return wait.arrivedAtMs +
    Math.min(mostMs, wait.callerTimeoutMs / PATIENCE_PART);
}
