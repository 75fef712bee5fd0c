/**
 * Decides which requests a node that drains still takes, and until when it waits
 * for what it has taken.
 *
 * A request needs a complete answer from the moment at which it is received
 * completely, whenever that is. One that is passed on to a backend server and
 * then cut may have run, so a request is passed on only if it was sent before
 * callers could know of the drain, or if its time limit ends before the process
 * does. Any other is refused at once, as not run.
 */

/** Times of a drain, by the steady clock, in milliseconds. */
export interface DrainTimes {
  /** Until then callers learn of the drain, and the listener stays open. */
  readonly noticeEndMs: number;
  /** Until then requests are passed on whatever their time limit is. */
  readonly lastStartMs: number;
  /** When everything that has not been passed on is refused. */
  readonly refuseAtMs: number;
  /** When answers that wait behind unanswered requests are sent. */
  readonly releaseAtMs: number;
  /** When the drain ends; calls that are still open then are abandoned. */
  readonly endMs: number;
}

/** What becomes of a request that is to be passed on now. */
export type HandoverDecision =
  | { readonly type: "HandOver" }
  | {
    readonly type: "Refuse";
    /** Time until the process has ended, in milliseconds. */
    readonly retryAfterMs: number;
  };

/**
 * Time from acceptance in which a new connection may send its first request
 * although the drain closes connections. A caller on this VM sends it at once,
 * but a busy VM may not run the caller for some tens of milliseconds.
 */
export const NEW_CONNECTION_MS = 200;
/** Longest notice: callers check each second, and get time for two checks. */
const MAX_NOTICE_MS = 2_500;
/** The notice is at most this part of a drain; the rest is for the answers. */
const MAX_NOTICE_RATIO = 0.5;
/**
 * Longest time from the end of the notice to the arrival of a request on a
 * connection that was opened before: accepting what is queued takes at most 250
 * ms, and the first request `NEW_CONNECTION_MS`.
 */
const LATE_ARRIVAL_MS = 250 + NEW_CONNECTION_MS;
/**
 * Latest such arrival, as a part of a drain: the rest is left to the runs of the
 * requests that are passed on last.
 */
const MAX_LAST_START_RATIO = 0.56;
/** Time for the refusals at the end of a drain to be told and written. */
const REFUSAL_MS = 150;
/** The same for the answers that wait behind others. */
const RELEASE_MS = 60;

const HAND_OVER: HandoverDecision = { type: "HandOver" };

/** Computes the times of a drain that lasts `drainMs` at most. */
export function computeDrainTimes(
  startedAtMs: number,
  drainMs: number,
): DrainTimes {
  const endMs = startedAtMs + drainMs;
  const noticeMs = Math.min(
    MAX_NOTICE_MS,
    Math.round(drainMs * MAX_NOTICE_RATIO),
  );
  const noticeEndMs = startedAtMs + noticeMs;
  const refuseAtMs = Math.max(noticeEndMs, endMs - REFUSAL_MS);
  const lastStartMs = Math.min(
    noticeEndMs + LATE_ARRIVAL_MS,
    startedAtMs + Math.round(drainMs * MAX_LAST_START_RATIO),
  );
  const releaseAtMs = Math.max(refuseAtMs, endMs - RELEASE_MS);
  return { noticeEndMs, lastStartMs, refuseAtMs, releaseAtMs, endMs };
}

/**
 * Decides whether a request with a time limit at `deadlineMs` may be passed on
 * now. `times` is undefined unless the node drains.
 */
export function decideHandover(
  deadlineMs: number,
  { times, nowMs }: {
    readonly times: DrainTimes | undefined;
    readonly nowMs: number;
  },
): HandoverDecision {
  const mayHandOver = times === undefined || nowMs <= times.lastStartMs ||
    deadlineMs <= times.refuseAtMs;
  return mayHandOver
    ? HAND_OVER
    : { type: "Refuse", retryAfterMs: Math.max(0, times.endMs - nowMs) };
}

/** A connection, as far as its close in a drain takes it into account. */
export interface HeldConnection {
  /** Whether a byte has been received on it. */
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
