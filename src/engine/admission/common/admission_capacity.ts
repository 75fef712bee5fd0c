/** Room for one more request, and what is known of a kind. */
import { setEntry } from "../../../base/common/maps.ts";
import type {
  AdmissionRequest,
  AdmissionState,
  KindState,
} from "./admission_types.ts";
import { MIN_LIMIT } from "./concurrency_limit.ts";
import { computeRampSlots } from "./ramp.ts";
import { UNKNOWN_SERVICE_TIME } from "./service_time.ts";

/** Fewest requests that may wait, however low the limit. */
const MIN_QUEUE_SIZE = 4;
/**
 * Requests that may wait for each one that may run. One for one is too short
 * for arrivals at random: at a load of just the capacity it refuses a fifth.
 */
const QUEUED_PER_RUNNING = 4;

const INITIAL_KIND_STATE: KindState = {
  usedAtMs: 0,
  theoreticalMs: 0,
  finishTag: 0,
  time: UNKNOWN_SERVICE_TIME,
};

/** Computes how many requests may run now: slots, ramp and latency. */
export function computeCapacity(state: AdmissionState, nowMs: number): number {
  const { slots, limit, ramp } = state;
  const floor = Math.min(MIN_LIMIT, slots);
  const capacity = Math.min(limit.value, computeRampSlots(ramp, slots, nowMs));
  return Math.floor(Math.max(floor, capacity));
}

/** Computes how many may wait: a few service times' worth. */
export function computeMaxQueueSize(
  state: AdmissionState,
  nowMs: number,
): number {
  return Math.max(
    MIN_QUEUE_SIZE,
    QUEUED_PER_RUNNING * computeCapacity(state, nowMs),
  );
}

/** Whether one more request of its kind may run. */
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
 * Whether the time that is left doesn't cover the expected service time. One
 * of a kind always runs, so that a wrong estimate is corrected.
 */
export function hasInsufficientTime(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): boolean {
  const leftMs = request.deadlineMs - nowMs;
  const { kind } = request.row;
  const { expectedMs } = getKindState(state, kind).time;
  return leftMs <= 0 ||
    (leftMs < (expectedMs ?? 0) && countRunning(state, kind) > 0);
}

/** Finds what is known of a kind. */
export function getKindState(state: AdmissionState, kind: string): KindState {
  return state.kinds.get(kind) ?? INITIAL_KIND_STATE;
}

/** Updates what is known of a kind. */
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
