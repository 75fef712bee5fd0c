/**
 * How hard callers' requests that lead to one backend server are to be refused
 * at their entry: a proportional-integral controller on the work asked for,
 * with the backlog as a second input.
 *
 * Load pattern: demand above the room for seconds, from a burst or from
 * clients that repeat. What is begun now asks for work for a second more, so
 * the reaction is slow enough not to swing about.
 */

/** What is kept between two updates. */
export interface PressureState {
  /** How hard to refuse, 0 to 1. */
  pressure: number;
  /** Slow part of it. */
  integral: number;
  windowStartMs: number;
  /** Milliseconds of service that were asked for in the window. */
  requestedMs: number;
  /** Smoothed work asked for, as a part of the room. */
  demand: number;
  /** Requests that arrived, and that ended without use, in the window. */
  arrivedCount: number;
  lostCount: number;
  /** Smoothed share of what was lost. */
  lostShare: number;
  /** Least backlog that the window has seen, in milliseconds of all room. */
  minBacklogMs: number;
  /** Most requests that ran at a time in the window. */
  maxRunning: number;
}

/** Room as it is now. */
export interface PressureInputs {
  /** Requests that may run at a time. */
  readonly limit: number;
  /** Requests that run. */
  readonly running: number;
  /** Time that all places together need for what waits. */
  readonly backlogMs: number;
  readonly nowMs: number;
}

/** Loads are told as often. */
const WINDOW_MS = 100;
/** Weight of a window in the smoothed demand: about 300 ms. */
const DEMAND_GAIN = 0.3;
/** Part of the room that is to be asked for: waits grow steeply above. */
const TARGET_DEMAND = 0.95;
/**
 * Part of the error that is added a second. A request asks for work for about
 * 0.7 s after it is begun, and a pressure of one takes some 0.9 of the room
 * off: a larger part makes it swing.
 */
const INTEGRAL_GAIN_PER_S = 0.6;
const PROPORTIONAL_GAIN = 0.2;
/** The most urgent rank is only refused for what just happened. */
const MAX_INTEGRAL = 0.85;
/** Larger errors, of a storm or of an idle second, count as these. */
const MAX_ERROR = 0.6;
const MIN_ERROR = -0.6;
/**
 * Pressure for each second of a backlog that never empties in a window: it is
 * what was begun too much, and reacts before the slow part does.
 */
const PRESSURE_PER_BACKLOG_S = 3;
const MAX_BACKLOG_PRESSURE = 0.4;
/** Part of that which is added to the error, so that no backlog stays. */
const BACKLOG_ERROR_GAIN = 0.75;

/**
 * Error for each share of requests lost: one that is lost here stands for all
 * the work of its root, some eight calls.
 */
const LOSS_ERROR_GAIN = 4;
const MAX_LOSS_ERROR = 0.5;

/**
 * With less of its places taken through a whole window a backend server is not
 * short of room, whatever was lost: its runs waited for what they call.
 */
const MAX_IDLE_UTILIZATION = 0.5;
/**
 * Part of the slow part that is left after such a window: roots are not refused
 * for a backend server whose places stand idle.
 */
const IDLE_INTEGRAL_RATIO = 0.5;

/** Creates the state of a backend server that is not short of room. */
export function createPressure(nowMs: number): PressureState {
  return {
    pressure: 0,
    integral: 0,
    windowStartMs: nowMs,
    requestedMs: 0,
    demand: 0,
    arrivedCount: 0,
    lostCount: 0,
    lostShare: 0,
    minBacklogMs: Infinity,
    maxRunning: 0,
  };
}

/** Counts a request that arrived. */
export function recordRequest(state: PressureState, serviceMs: number): void {
  state.requestedMs += serviceMs;
  state.arrivedCount += 1;
}

/**
 * Counts a request that ended without use: its time was up, or its caller's,
 * while it waited or ran. Where time limits are short, that is the first sign
 * of overload, and all that was done for it is wasted.
 */
export function recordLostRequest(state: PressureState): void {
  state.lostCount += 1;
}

/**
 * Takes back a request that the backend server did not run though it had room:
 * it asked for none. Where all members rejected half of their calls, requests
 * that would have fitted were refused for work that nobody did: 4 to 8 of 22
 * places were in use at a pressure of 0.85.
 */
export function recordRejection(state: PressureState, serviceMs: number): void {
  state.requestedMs = Math.max(0, state.requestedMs - serviceMs);
  state.arrivedCount = Math.max(0, state.arrivedCount - 1);
}

/** Notes the wait, and moves on where a window has ended. */
export function updatePressure(
  state: PressureState,
  { limit, running, backlogMs, nowMs }: PressureInputs,
): void {
  state.maxRunning = Math.max(state.maxRunning, running);
  state.minBacklogMs = Math.min(state.minBacklogMs, backlogMs);
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const demand = state.requestedMs / (Math.max(1, limit) * lengthMs);
  state.demand += (demand - state.demand) * DEMAND_GAIN;
  const byBacklog = Math.min(
    MAX_BACKLOG_PRESSURE,
    state.minBacklogMs / 1_000 * PRESSURE_PER_BACKLOG_S,
  );
  const lostShare = state.lostCount / Math.max(1, state.arrivedCount);
  state.lostShare += (Math.min(1, lostShare) - state.lostShare) * DEMAND_GAIN;
  const isIdle = byBacklog === 0 &&
    state.maxRunning < limit * MAX_IDLE_UTILIZATION;
  const byLoss = isIdle
    ? 0
    : Math.min(MAX_LOSS_ERROR, state.lostShare * LOSS_ERROR_GAIN);
  const error = clamp(state.demand - TARGET_DEMAND, MIN_ERROR, MAX_ERROR) +
    byBacklog * BACKLOG_ERROR_GAIN + byLoss;
  const change = error * INTEGRAL_GAIN_PER_S * lengthMs / 1_000;
  const kept = state.integral * (isIdle ? IDLE_INTEGRAL_RATIO : 1);
  state.integral = clamp(kept + change, 0, MAX_INTEGRAL);
  state.pressure = state.integral === 0
    ? 0
    : clamp(state.integral + error * PROPORTIONAL_GAIN + byBacklog, 0, 1);
  state.requestedMs = 0;
  state.arrivedCount = 0;
  state.lostCount = 0;
  state.windowStartMs = nowMs;
  state.minBacklogMs = Infinity;
  state.maxRunning = running;
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
