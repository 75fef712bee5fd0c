/** State of the admission gate, and the figures that follow from it. */
import type { BackendNotice, LoadFigures } from "../../mesh/common/frames.ts";
import { createPressure } from "../../admission/common/overload_pressure.ts";
import type { PressureState } from "../../admission/common/overload_pressure.ts";
import { createRoom } from "../../admission/common/room_ratio.ts";
import type { RoomState } from "../../admission/common/room_ratio.ts";
import { computeFailureShare, createFailureShare } from "./failure_share.ts";
import type { FailureShare } from "./failure_share.ts";
import type { GateCall } from "./gate_queue.ts";
import { formatInstance } from "./local_backend.ts";
import type { LocalBackend } from "./local_backend.ts";
import { computeUsualServiceMs } from "./speed_estimate.ts";
import type { SpeedEstimate } from "./speed_estimate.ts";
import { computeTokenRate, estimateTokenWaitMs } from "./token_bucket.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** Service time of one route. */
interface ServiceTime {
  /** Smoothed mean. */
  meanMs: number;
  /** Time of the last sample in it. */
  sampledAtMs: number;
  /** When a run of the route last began. */
  begunAtMs: number;
}

/** State of the gate; only its reducer changes it. */
export interface GateState {
  backend: LocalBackend | undefined;
  /** Calls that occupy a slot. */
  running: number;
  /** Waiting calls, in the order in which they will run. */
  readonly queue: GateCall[];
  /** Service times by route. */
  readonly serviceTimes: Map<string, ServiceTime>;
  /** Smoothed service time over all routes; 0 before the first sample. */
  meanServiceMs: number;
  /** Time of the last sample in it. */
  lastSampleMs: number;
  /** Smoothed time between two completions while calls are waiting. */
  completionGapMs: number;
  /** Time of the last completion. */
  lastCompletionMs: number;
  /** How strongly entries refuse root requests because of this gate. */
  readonly pressure: PressureState;
  /** Capacity relative to what root requests ask for. */
  readonly room: RoomState;
  /** Notices by process instance, in the order of their first statement. */
  readonly notices: Map<string, BackendNotice>;
  /** Notice of the process instance that was announced last, if it has one. */
  lastNotice: BackendNotice | undefined;
  /** Rate limit of the current process instance; undefined if it names none. */
  bucket: TokenBucket | undefined;
  /** Whether `room` is measured and reported; entries plan by it then. */
  isRoomMeasured: boolean;
  /** Slowdown of the backend server's machine; undefined if it names none. */
  slowdown: ReportedSlowdown | undefined;
  /** Usual speed of a backend server that names a slowdown. */
  speed: SpeedEstimate | undefined;
  /** Share of the calls that the current process instance fails. */
  failures: FailureShare;
  /** When it last failed one; undefined if it has failed none. */
  failedAtMs: number | undefined;
  /** The share as reported; undefined if it has failed none recently. */
  failureShare: number | undefined;
}

/** How long work takes on a backend server's machine, as it last said. */
export interface ReportedSlowdown {
  /** Relative to usual. */
  readonly factor: number;
  readonly reportedAtMs: number;
}

/**
 * Share of the slots that is used. Some backend servers slow down by a third
 * once the last twentieth is in use: with 15 slots, 14 concurrent requests give
 * a higher throughput than 15.
 */
const USABLE_SLOT_RATIO = 0.95;
/** Service time of such a backend server then, relative to usual. */
const FULL_SLOWDOWN = 1.3;
/** Assumed service time of a route without a sample. */
export const DEFAULT_SERVICE_MS = 20;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2_000;
/** The same where a rate limit makes the caller wait. */
const MAX_LIMITED_RETRY_AFTER_MS = 10_000;
/**
 * The share of failed calls is reported for this long after the last one, until
 * callers that have made no call since no longer remember it either.
 */
const FAILURES_REPORTED_MS = 30_000;
/** Lowest capacity that is reported of a backend server that takes requests. */
const MIN_CAPACITY = 0.01;

/** Creates the gate of a node whose backend server has not announced itself. */
export function createGate(): GateState {
  return {
    backend: undefined,
    running: 0,
    queue: [],
    serviceTimes: new Map(),
    meanServiceMs: 0,
    lastSampleMs: 0,
    completionGapMs: 0,
    lastCompletionMs: 0,
    pressure: createPressure(0),
    room: createRoom(0),
    notices: new Map(),
    lastNotice: undefined,
    bucket: undefined,
    isRoomMeasured: false,
    slowdown: undefined,
    speed: undefined,
    failures: createFailureShare(),
    failedAtMs: undefined,
    failureShare: undefined,
  };
}

/** Gets the notice of the current process instance; undefined if it said none. */
export function getNotice(state: GateState): BackendNotice | undefined {
  return state.backend === undefined
    ? undefined
    : state.notices.get(formatInstance(state.backend));
}

/** Whether calls may be handed over to the backend server. */
export function isOpen(state: GateState): boolean {
  return state.backend !== undefined && !state.backend.isDraining;
}

/** Computes how many calls may run at the same time. */
export function computeLimit(state: GateState): number {
  const { backend } = state;
  return backend === undefined || backend.isDraining
    ? 0
    : computeUsableSlots(backend.slots);
}

/**
 * Computes how many slots are used. Whether a backend server slows down isn't
 * known, so that slots are left idle only where this costs less of the
 * throughput, for certain, than their use may: with 5 slots, 4 concurrent
 * requests give a fifth less than 5, or a twentieth more.
 */
function computeUsableSlots(slots: number): number {
  const usable = Math.floor(slots * USABLE_SLOT_RATIO);
  const idleThroughput = usable / slots;
  const fullThroughput = slots / (usable * FULL_SLOWDOWN);
  return Math.max(1, idleThroughput > fullThroughput ? usable : slots);
}

/**
 * Computes how many calls run at a time when the gate hands over as many as it
 * may. Under a rate limit that is a fraction of the limit on running calls.
 */
export function computeCapacity(state: GateState): number {
  const limit = computeLimit(state);
  const { bucket } = state;
  if (limit === 0 || bucket === undefined) {
    return limit;
  }
  const limited = computeTokenRate(bucket) * getMeanServiceMs(state) / 1_000;
  return Math.min(limit, Math.max(MIN_CAPACITY, limited));
}

/** Gets the mean service time over all routes; a default before a sample. */
export function getMeanServiceMs({ meanServiceMs }: GateState): number {
  return meanServiceMs === 0 ? DEFAULT_SERVICE_MS : meanServiceMs;
}

/** Creates the load figures that are sent to callers. */
export function createLoadFigures(state: GateState): LoadFigures {
  const { failureShare } = state;
  return {
    running: state.running,
    queued: state.queue.length,
    limit: computeCapacity(state),
    pressure: state.pressure.pressure,
    serviceMs: state.speed === undefined
      ? state.meanServiceMs
      : computeUsualServiceMs(state.speed),
    notice: getNotice(state),
    ...(state.isRoomMeasured && { spare: state.room.ratio }),
    ...(state.slowdown && { slowdown: state.slowdown.factor }),
    ...(failureShare !== undefined && { failureShare }),
  };
}

/** Updates the share of failed calls that is reported. */
export function updateFailureShare(state: GateState, nowMs: number): void {
  const { failures, failedAtMs } = state;
  const isRecent = failedAtMs !== undefined &&
    nowMs - failedAtMs < FAILURES_REPORTED_MS;
  state.failureShare = isRecent
    ? computeFailureShare(failures, nowMs)
    : undefined;
}

/** Estimates when a refused caller would find a free slot. */
export function computeRetryAfterMs(state: GateState, nowMs: number): number {
  const { queue, bucket } = state;
  const slotWaitMs = (queue.length + 1) * Math.max(1, state.completionGapMs);
  const waitMs = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, slotWaitMs),
  );
  return bucket === undefined ? waitMs : Math.max(
    waitMs,
    Math.min(
      MAX_LIMITED_RETRY_AFTER_MS,
      estimateTokenWaitMs(bucket, queue.length, nowMs),
    ),
  );
}
