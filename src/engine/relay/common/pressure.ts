/**
 * How much of the demand at one backend server is too much. A queue that does
 * not empty for a whole window shows overload (after CoDel, RFC 8289); then the
 * part that callers may begin is cut by the ratio of room to demand. Without
 * such a queue it grows again.
 */

/** What is measured between two updates. */
export interface PressureState {
  /** Part of the work that callers may begin, 0 to 1. */
  admitted: number;
  windowStartMs: number;
  /** Milliseconds of service that were asked for in the window. */
  askedMs: number;
  /** No cut before: the last one must show in what arrives. */
  holdUntilMs: number;
  /** Least wait of the oldest waiting request that the window has seen. */
  leastWaitMs: number;
}

/** Room as it is now. */
export interface PressureInputs {
  /** Requests that may run at a time. */
  readonly limit: number;
  /** How long the oldest waiting request has waited. */
  readonly oldestWaitMs: number;
  readonly nowMs: number;
}

/** Between updates: what callers began before must show first. */
const WINDOW_MS = 250;
/** A queue that always holds such a wait stands. */
const STANDING_MS = 12;
/** Part of the room that is filled under overload: waits grow steeply above. */
const TARGET = 0.95;
/**
 * A cut shows only once the calls of what was begun before have ended, about a
 * second later; cuts that follow each other sooner go far too deep.
 */
const HOLD_MS = 1_000;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 0.95;
/** Growth an update without a standing queue: some 20% a second. */
const GROWTH = 1.05;
const MIN_ADMITTED = 0.05;

/** Creates the state of a backend server that is not short of room. */
export function createPressure(nowMs: number): PressureState {
  return {
    admitted: 1,
    windowStartMs: nowMs,
    askedMs: 0,
    holdUntilMs: 0,
    leastWaitMs: Infinity,
  };
}

/** Counts a request that arrived. */
export function noteAsked(state: PressureState, serviceMs: number): void {
  state.askedMs += serviceMs;
}

/** Notes the wait, and moves on where a window has ended. */
export function updatePressure(
  state: PressureState,
  { limit, oldestWaitMs, nowMs }: PressureInputs,
): void {
  state.leastWaitMs = Math.min(state.leastWaitMs, oldestWaitMs);
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const demand = state.askedMs / Math.max(1, limit * lengthMs);
  const isStanding = state.leastWaitMs >= STANDING_MS;
  const isHeld = nowMs < state.holdUntilMs;
  const ratio = TARGET / Math.max(0.01, demand);
  const cut = isHeld ? 1 : Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, ratio));
  const factor = isStanding ? cut : GROWTH;
  if (isStanding && !isHeld) {
    state.holdUntilMs = nowMs + HOLD_MS;
  }
  state.admitted = Math.max(
    MIN_ADMITTED,
    Math.min(1, state.admitted * factor),
  );
  state.askedMs = 0;
  state.windowStartMs = nowMs;
  state.leastWaitMs = Infinity;
}
