/** Room for one more request, and what is known of a kind. */
import { setEntry } from "../../../base/common/maps.ts";
import type {
  AdmissionRequest,
  AdmissionState,
  KindState,
} from "./admission_types.ts";
import { MIN_LIMIT } from "./concurrency_limit.ts";
import { limitSlots } from "./ramp.ts";
import { UNKNOWN_TIME } from "./service_time.ts";

/** Fewest requests that may wait, however low the limit. */
const MIN_QUEUE = 4;
/**
 * Requests that may wait for each one that may run. One for one is too short
 * for arrivals at random: at a load of just the capacity it refuses a fifth.
 */
const QUEUE_TURNS = 4;

const UNUSED_KIND: KindState = {
  usedAtMs: 0,
  theoreticalMs: 0,
  finishTag: 0,
  time: UNKNOWN_TIME,
};

/** Computes how many requests may run now: slots, ramp and latency. */
export function computeCapacity(state: AdmissionState, nowMs: number): number {
  const { slots, limit, ramp } = state;
  const floor = Math.min(MIN_LIMIT, slots);
  const capacity = Math.min(limit.value, limitSlots(ramp, slots, nowMs));
  return Math.floor(Math.max(floor, capacity));
}

/** Computes how many may wait: a few service times' worth. */
export function computeQueueSize(state: AdmissionState, nowMs: number): number {
  return Math.max(MIN_QUEUE, QUEUE_TURNS * computeCapacity(state, nowMs));
}

/** Whether one more request of its kind may run. */
export function hasRoom(
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
export function isHopeless(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): boolean {
  const leftMs = request.deadlineMs - nowMs;
  const { kind } = request.row;
  const { expectedMs } = findKind(state, kind).time;
  return leftMs <= 0 ||
    (leftMs < (expectedMs ?? 0) && countRunning(state, kind) > 0);
}

/** Finds what is known of a kind. */
export function findKind(state: AdmissionState, kind: string): KindState {
  return state.kinds.get(kind) ?? UNUSED_KIND;
}

/** Updates what is known of a kind. */
export function updateKind(
  state: AdmissionState,
  kind: string,
  change: Partial<KindState>,
): AdmissionState {
  const next = { ...findKind(state, kind), ...change };
  return { ...state, kinds: setEntry(state.kinds, kind, next) };
}

function countRunning(state: AdmissionState, kind: string): number {
  let count = 0;
  for (const running of state.running.values()) {
    count += running.kind === kind ? 1 : 0;
  }
  return count;
}
