/**
 * Overload pressure of one backend server: how strongly the entry nodes refuse
 * root requests whose calls lead to it. A proportional-integral controller on
 * the demand for service time, with the backlog as a second input.
 *
 * Load pattern: demand above the capacity for seconds, from a burst or from
 * clients that retry. A request that is admitted now still makes calls up to a
 * second later, so the controller reacts slowly enough not to oscillate.
 */

/** State between two updates; the functions below change it in place. */
export interface PressureState {
  /** Output: 0 (refuse nothing) to 1. */
  pressure: number;
  /** Integral term of the pressure. */
  integral: number;
  /** Start of the window, in milliseconds. */
  windowStartMs: number;
  /** Service time of the requests that arrived in the window. */
  requestedMs: number;
  /** Smoothed ratio of the requested service time to the capacity. */
  demand: number;
  /** Requests that arrived in the window. */
  arrivedCount: number;
  /** Requests that ended in the window without a useful answer. */
  lostCount: number;
  /** Smoothed ratio of lost requests to arrivals, 0 to 1. */
  lostShare: number;
  /** Smallest backlog in the window, in milliseconds of the whole capacity. */
  minBacklogMs: number;
  /** Largest number of requests that ran at a time in the window. */
  maxRunning: number;
}

/** Capacity and load at the time of an update. */
export interface PressureInputs {
  /**
   * Requests that run at a time when the backend server gets all that it takes;
   * below 1 if a limit on the request rate allows fewer.
   */
  readonly limit: number;
  /** Requests that are running. */
  readonly running: number;
  /** Time that all slots together need for the queued requests. */
  readonly backlogMs: number;
  readonly nowMs: number;
}

/** Length of a window; nodes report their loads at the same interval. */
const WINDOW_MS = 100;
/** Weight of a window in the smoothed values; smooths over about 300 ms. */
const DEMAND_GAIN = 0.3;
/** Target ratio of demand to capacity; above it, waits grow steeply. */
const TARGET_DEMAND = 0.95;
/**
 * Gain of the integral term per second. A request makes calls for about 0.7 s
 * after it was admitted, and a pressure of 1 takes off demand of about 0.9 of
 * the capacity, so a larger gain makes the pressure oscillate.
 */
const INTEGRAL_GAIN_PER_S = 0.6;
const PROPORTIONAL_GAIN = 0.2;
/**
 * Upper bound of the integral term. Requests of the most urgent rank are
 * refused only by the other terms, which react to the latest windows.
 */
const MAX_INTEGRAL = 0.85;
/** Bounds of the demand error, which a burst or an idle second would exceed. */
const MAX_ERROR = 0.6;
const MIN_ERROR = -0.6;
/**
 * Pressure per second of the smallest backlog in a window. That backlog is the
 * work admitted in excess, and this term reacts before the integral term does.
 */
const PRESSURE_PER_BACKLOG_S = 3;
const MAX_BACKLOG_PRESSURE = 0.4;
/** Gain of the backlog pressure in the error, so that no backlog remains. */
const BACKLOG_ERROR_GAIN = 0.75;

/**
 * Gain of the share of lost requests in the error. It is above 1, as a request
 * that is lost here wastes all the work of its root request, about eight calls.
 */
const LOSS_ERROR_GAIN = 4;
const MAX_LOSS_ERROR = 0.5;

/**
 * A backend server that used less than this share of its slots in a window is
 * not overloaded, even if requests were lost: they waited for downstream calls.
 */
const MAX_IDLE_UTILIZATION = 0.5;
/**
 * Part of the integral term retained after such a window, so that no root
 * requests are refused for a backend server with idle slots.
 */
const IDLE_INTEGRAL_RATIO = 0.5;

/** Creates the state of a backend server without overload. */
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

/** Records the arrival of a request with the expected service time. */
export function recordRequest(state: PressureState, serviceMs: number): void {
  state.requestedMs += serviceMs;
  state.arrivedCount += 1;
}

/**
 * Records a request that ended without a useful answer: its deadline passed, or
 * its caller left, while it was queued or running. With short timeouts this is
 * the first sign of overload, and all work for the request is wasted.
 */
export function recordLostRequest(state: PressureState): void {
  state.lostCount += 1;
}

/**
 * Reverts the record of a request that the backend server rejected with free
 * capacity, as it took no service time. Otherwise, with all members rejecting
 * half of their calls, requests that fit were refused for work that was never
 * done: 4 to 8 of 22 slots were in use at a pressure of 0.85.
 */
export function recordRejection(state: PressureState, serviceMs: number): void {
  state.requestedMs = Math.max(0, state.requestedMs - serviceMs);
  state.arrivedCount = Math.max(0, state.arrivedCount - 1);
}

/** Records the backlog, and updates the pressure at the end of a window. */
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
  const capacity = limit === 0 ? 1 : limit;
  const demand = state.requestedMs / (capacity * lengthMs);
  state.demand += (demand - state.demand) * DEMAND_GAIN;
  const backlogPressure = Math.min(
    MAX_BACKLOG_PRESSURE,
    state.minBacklogMs / 1_000 * PRESSURE_PER_BACKLOG_S,
  );
  const lostShare = state.lostCount / Math.max(1, state.arrivedCount);
  state.lostShare += (Math.min(1, lostShare) - state.lostShare) * DEMAND_GAIN;
  const isIdle = backlogPressure === 0 &&
    state.maxRunning < limit * MAX_IDLE_UTILIZATION;
  const lossError = isIdle
    ? 0
    : Math.min(MAX_LOSS_ERROR, state.lostShare * LOSS_ERROR_GAIN);
  const error = clamp(state.demand - TARGET_DEMAND, MIN_ERROR, MAX_ERROR) +
    backlogPressure * BACKLOG_ERROR_GAIN + lossError;
  const change = error * INTEGRAL_GAIN_PER_S * lengthMs / 1_000;
  const retained = state.integral * (isIdle ? IDLE_INTEGRAL_RATIO : 1);
  state.integral = clamp(retained + change, 0, MAX_INTEGRAL);
  state.pressure = state.integral === 0
    ? 0
    : clamp(state.integral + error * PROPORTIONAL_GAIN + backlogPressure, 0, 1);
  state.requestedMs = 0;
  state.arrivedCount = 0;
  state.lostCount = 0;
  state.windowStartMs = nowMs;
  state.minBacklogMs = Infinity;
  state.maxRunning = running;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
