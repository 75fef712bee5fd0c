/**
 * Ratio of a backend server's capacity to the slot time that root requests
 * would ask for if all of them were admitted. The entry nodes admit this share
 * of the slot time.
 *
 * Load pattern: demand that changes within a second, from bursts and from waves
 * of 10 to 15 s. The demand that arrives is divided by the share that was
 * admitted when its root requests began, so that the ratio needs no feedback:
 * it is right again one delay of the call tree after a step of the demand.
 */

/** State between two updates; the functions below change it in place. */
export interface RoomState {
  /** Capacity over offered slot time; above 1 there is capacity to spare. */
  ratio: number;
  /** Start of the window, in milliseconds. */
  windowStartMs: number;
  /** Slot time of the calls that arrived in the window. */
  requestedMs: number;
  /** Slots that the arriving calls need, smoothed. */
  demandSlots: number;
  /** Earlier ratios, oldest first, one for each window of the delay. */
  readonly pastRatios: number[];
  /** Admitted share that the arriving calls stem from, before the last lag. */
  arrivingShare: number;
  /** The same, smoothed like `demandSlots`. */
  admittedShare: number;
}

/** Capacity and load at the time of an update. */
export interface RoomInputs {
  /** Requests that run at a time when the backend server gets all it takes. */
  readonly limit: number;
  /** Time that all slots together need for the queued calls. */
  readonly backlogMs: number;
  readonly nowMs: number;
}

/** Length of a window; nodes report their loads at the same interval. */
const WINDOW_MS = 100;
/** Weight of a window in the smoothed demand; smooths over about 300 ms. */
const DEMAND_GAIN = 0.3;
/**
 * Windows from a ratio until the calls of the root requests admitted by it
 * begin to arrive: reports pass through the levels of the call tree, and the
 * calls are made one after the other.
 */
const DELAY_WINDOWS = 4;
/** Weight of a window in the spread of these calls, about 300 ms. */
const SPREAD_GAIN = 0.3;
/** Part of the slots that is planned for; the rest is for uneven arrivals. */
const TARGET_UTILIZATION = 0.94;
/**
 * A queue of this length, in time of all slots, is planned to drain at the least
 * rate. Runs that make their calls one after the other are slowed down by a
 * queue, and the demand that arrives is never above the capacity then. With 300,
 * a queue of 100 ms stayed, and a run of eight calls took 0.8 s longer.
 */
const DRAIN_MS = 40;
/** Least part of the slots that is planned for while a queue drains. */
const MIN_TARGET = 0.1;
const MIN_RATIO = 0.05;
/** There is nothing to gain from knowing more than four times the demand. */
const MAX_RATIO = 4;
/** A lower share would make the estimated demand depend on a few calls. */
const MIN_SHARE = 0.1;

/** Creates the state of a backend server without load. */
export function createRoom(nowMs: number): RoomState {
  return {
    ratio: MAX_RATIO,
    windowStartMs: nowMs,
    requestedMs: 0,
    demandSlots: 0,
    pastRatios: [],
    arrivingShare: 1,
    admittedShare: 1,
  };
}

/** Records the arrival of a call with the expected service time. */
export function recordDemand(state: RoomState, serviceMs: number): void {
  state.requestedMs += serviceMs;
}

/** Reverts the record of a call that the backend server rejected. */
export function recordRejectedDemand(
  state: RoomState,
  serviceMs: number,
): void {
  state.requestedMs = Math.max(0, state.requestedMs - serviceMs);
}

/** Updates the ratio at the end of a window. */
export function updateRoom(
  state: RoomState,
  { limit, backlogMs, nowMs }: RoomInputs,
): void {
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const slots = state.requestedMs / lengthMs;
  state.demandSlots += (slots - state.demandSlots) * DEMAND_GAIN;
  updateAdmittedShare(state);
  const offeredSlots = state.demandSlots /
    Math.max(MIN_SHARE, state.admittedShare);
  const expectedMs = estimateBacklogMs(state, {
    backlogMs,
    load: offeredSlots / Math.max(Number.MIN_VALUE, limit),
  });
  const target = Math.max(
    MIN_TARGET,
    TARGET_UTILIZATION - expectedMs / DRAIN_MS,
  );
  const ratio = offeredSlots === 0 ? MAX_RATIO : target * limit / offeredSlots;
  state.ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
  state.requestedMs = 0;
  state.windowStartMs = nowMs;
}

/**
 * Estimates the backlog for when the calls of root requests admitted now begin
 * to arrive. Without this, requests are still refused for a queue that the
 * refusals so far will already drain, and slots are idle after each burst.
 */
function estimateBacklogMs(
  { pastRatios, arrivingShare }: RoomState,
  { backlogMs, load }: { readonly backlogMs: number; readonly load: number },
): number {
  let share = arrivingShare;
  let expectedMs = backlogMs;
  for (const ratio of pastRatios) {
    share += (ratio - share) * SPREAD_GAIN;
    expectedMs = Math.max(0, expectedMs + (share * load - 1) * WINDOW_MS);
  }
  return expectedMs;
}

/** Follows the earlier ratio through the delay and spread of the call tree. */
function updateAdmittedShare(state: RoomState): void {
  const { pastRatios } = state;
  pastRatios.push(Math.min(1, state.ratio));
  const delayed = pastRatios[0]!;
  if (pastRatios.length > DELAY_WINDOWS) {
    pastRatios.shift();
  }
  state.arrivingShare += (delayed - state.arrivingShare) * SPREAD_GAIN;
  state.admittedShare += (state.arrivingShare - state.admittedShare) *
    DEMAND_GAIN;
}
