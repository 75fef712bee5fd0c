/**
 * How hard callers' requests that lead to one backend server are to be refused
 * at their entry: as hard as makes the work that would be asked for without any
 * refusal fit the room, with the backlog and a slow correction on top.
 *
 * Load pattern: demand above the room for seconds, from a burst or from
 * clients that repeat. What is begun now asks for work for a second more. So
 * the work that comes now is held against the pressure of when its requests
 * were begun: a surge is answered by its size within a second, and what the
 * answer itself takes off is not mistaken for an end of the surge.
 */

/** What is kept between two updates. */
export interface PressureState {
  /** How hard to refuse, 0 to 1. */
  pressure: number;
  /** Slow correction of it. */
  integral: number;
  /** Smoothed work that would be asked for without pressure, likewise. */
  offered: number;
  /** Pressure at the end of past windows, newest first. */
  readonly past: number[];
  windowStartMs: number;
  /** Milliseconds of service that were asked for in the window. */
  askedMs: number;
  /** Smoothed work asked for, as a part of the room. */
  demand: number;
  /** Requests that arrived, and that ended without use, in the window. */
  arrived: number;
  lost: number;
  /** Smoothed share of what was lost. */
  lostShare: number;
  /** Least backlog that the window has seen, in milliseconds of all room. */
  leastBacklogMs: number;
  /** Most requests that ran at a time in the window. */
  mostRunning: number;
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
const TARGET = 0.95;
/** Part of the work asked for that a pressure of 1 takes off. */
const TAKEN_OFF = 0.85;
/**
 * Windows between the refusal of a request and the work that it would have
 * asked for: a call at once, or eight calls one after the other.
 */
const EFFECT_FROM = 3;
const EFFECT_TO = 10;
/**
 * What waits through a whole window is to be gone within so long; the room for
 * it is taken from new requests. Where requests are held up on the way here, no
 * more comes than fits, and only the wait tells that more was begun.
 */
const DRAIN_MS = 500;
/** Most of the room that is kept for it. */
const MAX_DRAIN = 0.4;
/** Part of the error that is added to the correction a second. */
const INTEGRAL_PER_S = 0.25;
/** How far the correction goes down, where less fits than is asked for. */
const MIN_INTEGRAL = -0.1;
const MAX_INTEGRAL = 0.85;
/** Larger errors, of a storm or of an idle second, count as these. */
const MAX_ERROR = 0.6;
const MIN_ERROR = -0.6;
/** Part of the room kept for what waits that is added to the error. */
const DRAIN_ERROR = 0.3;

/**
 * Error for each share of requests lost: one that is lost here stands for all
 * the work of its root, some eight calls.
 */
const LOST_ERROR = 4;
const MAX_LOST_ERROR = 0.5;

/**
 * With less of its places taken through a whole window a backend server is not
 * short of room, whatever was lost: its runs waited for what they call.
 */
const IDLE_SHARE = 0.5;
/**
 * Part of the slow part that is left after such a window. Without it 24
 * backend servers in the middle of a call tree ran 22 to 27 of 58 calls each at
 * a pressure of 0.9, a second after the service below had caught up.
 */
const IDLE_KEPT = 0.5;

/** Creates the state of a backend server that is not short of room. */
export function createPressure(nowMs: number): PressureState {
  return {
    pressure: 0,
    integral: 0,
    offered: 0,
    past: [],
    windowStartMs: nowMs,
    askedMs: 0,
    demand: 0,
    arrived: 0,
    lost: 0,
    lostShare: 0,
    leastBacklogMs: Infinity,
    mostRunning: 0,
  };
}

/** Counts a request that arrived. */
export function noteAsked(state: PressureState, serviceMs: number): void {
  state.askedMs += serviceMs;
  state.arrived += 1;
}

/**
 * Counts a request that ended without use: its time was up, or its caller's,
 * while it waited or ran. Where time limits are short, that is the first sign
 * of overload, and all that was done for it is wasted.
 */
export function noteLost(state: PressureState): void {
  state.lost += 1;
}

/**
 * Takes back a request that the backend server did not run though it had room:
 * it asked for none. Where all members rejected half of their calls, requests
 * that would have fitted were refused for work that nobody did: 4 to 8 of 22
 * places were in use at a pressure of 0.85.
 */
export function noteRejected(state: PressureState, serviceMs: number): void {
  state.askedMs = Math.max(0, state.askedMs - serviceMs);
  state.arrived = Math.max(0, state.arrived - 1);
}

/** Notes the wait, and moves on where a window has ended. */
export function updatePressure(
  state: PressureState,
  { limit, running, backlogMs, nowMs }: PressureInputs,
): void {
  state.mostRunning = Math.max(state.mostRunning, running);
  state.leastBacklogMs = Math.min(state.leastBacklogMs, backlogMs);
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const demand = state.askedMs / (Math.max(1, limit) * lengthMs);
  state.demand += (demand - state.demand) * DEMAND_GAIN;
  const draining = Math.min(MAX_DRAIN, state.leastBacklogMs / DRAIN_MS);
  const lostShare = state.lost / Math.max(1, state.arrived);
  state.lostShare += (Math.min(1, lostShare) - state.lostShare) * DEMAND_GAIN;
  const isIdle = draining === 0 && state.mostRunning < limit * IDLE_SHARE;
  const byLoss = isIdle
    ? 0
    : Math.min(MAX_LOST_ERROR, state.lostShare * LOST_ERROR);
  const error = limitTo(state.demand - TARGET, MIN_ERROR, MAX_ERROR) +
    draining * DRAIN_ERROR + byLoss;
  const offered = demand / (1 - computePast(state) * TAKEN_OFF);
  state.offered += (offered - state.offered) * DEMAND_GAIN;
  const room = TARGET - draining;
  const wanted = isIdle ? 0 : (1 - room / state.offered) / TAKEN_OFF;
  const change = error * INTEGRAL_PER_S * lengthMs / 1_000;
  const kept = state.integral * (isIdle ? IDLE_KEPT : 1);
  state.integral = wanted <= 0
    ? limitTo(kept + change, 0, MAX_INTEGRAL)
    : limitTo(kept + change, MIN_INTEGRAL, MAX_INTEGRAL);
  state.pressure = limitTo(Math.max(0, wanted) + state.integral, 0, 1);
  state.past.unshift(state.pressure);
  state.past.length = Math.min(state.past.length, EFFECT_TO);
  state.askedMs = 0;
  state.arrived = 0;
  state.lost = 0;
  state.windowStartMs = nowMs;
  state.leastBacklogMs = Infinity;
  state.mostRunning = running;
}

/** Pressure when the requests whose work comes now were begun. */
function computePast({ past }: PressureState): number {
  const then = past.slice(EFFECT_FROM);
  return then.reduce((sum, one) => sum + one, 0) / Math.max(1, then.length);
}

function limitTo(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
