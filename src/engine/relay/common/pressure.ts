/**
 * How much of the demand at one backend server is too much: the share of work
 * asked for is held against the room, and the part that callers may begin is
 * moved by their ratio (a proportional controller on the logarithm).
 */

/** What is measured between two updates. */
export interface PressureState {
  /** Part of the work that callers may begin, 0 to 1. */
  admitted: number;
  windowStartMs: number;
  /** Milliseconds of service that were asked for in the window. */
  askedMs: number;
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
/** Part of the room that is filled: waits grow steeply above. */
const TARGET = 0.9;
/** One update undoes at most this part of a deviation: begun work goes on. */
const EXPONENT = 0.5;
const MIN_FACTOR = 0.7;
const MAX_FACTOR = 1.08;
const MIN_ADMITTED = 0.02;
/** A longer wait shows overload whatever the measured demand says. */
const LONG_WAIT_MS = 60;
const LONG_WAIT_FACTOR = 0.85;

/** Creates the state of a backend server that is not short of room. */
export function createPressure(nowMs: number): PressureState {
  return { admitted: 1, windowStartMs: nowMs, askedMs: 0 };
}

/** Counts a request that arrived. */
export function noteAsked(state: PressureState, serviceMs: number): void {
  state.askedMs += serviceMs;
}

/** Moves on where a window has ended. */
export function updatePressure(
  state: PressureState,
  { limit, oldestWaitMs, nowMs }: PressureInputs,
): void {
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const demand = state.askedMs / Math.max(1, limit * lengthMs);
  state.askedMs = 0;
  state.windowStartMs = nowMs;
  const ratio = (TARGET / Math.max(0.01, demand)) ** EXPONENT;
  const bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, ratio));
  const factor = oldestWaitMs > LONG_WAIT_MS
    ? Math.min(bounded, LONG_WAIT_FACTOR)
    : bounded;
  state.admitted = Math.max(
    MIN_ADMITTED,
    Math.min(1, state.admitted * factor),
  );
}
