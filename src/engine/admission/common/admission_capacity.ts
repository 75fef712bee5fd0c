/** Free capacity of a backend server, and the state of each kind of request. */
import { setEntry } from "../../../base/common/maps.ts";
import type {
  AdmissionRequest,
  AdmissionState,
  KindState,
} from "./admission_types.ts";
import { MIN_LIMIT } from "./concurrency_limit.ts";
import { computeRampSlots } from "./ramp.ts";
import { UNKNOWN_SERVICE_TIME } from "./service_time.ts";

/** Minimum queue limit in requests, however low the concurrency limit. */
const MIN_QUEUE_SIZE = 4;
/**
 * Requests that may be queued for each one that may run. At a ratio of 1, a
 * load equal to the capacity has a fifth of its random arrivals refused.
 */
const QUEUED_PER_RUNNING = 4;

const INITIAL_KIND_STATE: KindState = {
  usedAtMs: 0,
  theoreticalMs: 0,
  finishTag: 0,
  time: UNKNOWN_SERVICE_TIME,
};

/**
 * Computes how many requests may run at a time: the lower of the concurrency
 * limit and the slots released by the ramp, but at least `MIN_LIMIT`.
 */
export function computeCapacity(state: AdmissionState, nowMs: number): number {
  const { slots, limit, ramp } = state;
  const minimum = Math.min(MIN_LIMIT, slots);
  const capacity = Math.min(limit.value, computeRampSlots(ramp, slots, nowMs));
  return Math.floor(Math.max(minimum, capacity));
}

/** Computes the queue limit in requests, in proportion to the capacity. */
export function computeMaxQueueSize(
  state: AdmissionState,
  nowMs: number,
): number {
  return Math.max(
    MIN_QUEUE_SIZE,
    QUEUED_PER_RUNNING * computeCapacity(state, nowMs),
  );
}

/**
 * Whether the request may run now, within the capacity of the backend server
 * and the concurrency limit of its row.
 */
export function hasFreeCapacity(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): boolean {
  const { kind, concurrency } = request.row;
  return state.running.size < computeCapacity(state, nowMs) &&
    countRunning(state, kind) < concurrency;
}

/**
 * Whether the time to the deadline is less than the expected service time.
 * While no request of the kind runs, only a passed deadline counts: one run at
 * a time is let through so that a wrong estimate gets corrected.
 */
export function hasInsufficientTime(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): boolean {
  const remainingMs = request.deadlineMs - nowMs;
  const { kind } = request.row;
  const { expectedMs } = getKindState(state, kind).time;
  return remainingMs <= 0 ||
    (remainingMs < (expectedMs ?? 0) && countRunning(state, kind) > 0);
}

/** Returns the state of a kind, or the initial state if it has none. */
export function getKindState(state: AdmissionState, kind: string): KindState {
  return state.kinds.get(kind) ?? INITIAL_KIND_STATE;
}

/** Replaces the given fields in the state of a kind. */
export function updateKindState(
  state: AdmissionState,
  kind: string,
  change: Partial<KindState>,
): AdmissionState {
  const next = { ...getKindState(state, kind), ...change };
  return { ...state, kinds: setEntry(state.kinds, kind, next) };
}

function countRunning(state: AdmissionState, kind: string): number {
  let count = 0;
  for (const running of state.running.values()) {
    count += running.kind === kind ? 1 : 0;
  }
  return count;
}
