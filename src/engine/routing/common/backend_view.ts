/** One backend server as this node sees it, and what an attempt there costs. */
import type { Announcement } from "../../membership/common/announcement.ts";

/** What this node saw of one backend server. */
export interface BackendView {
  readonly announcement: Announcement;
  /** Attempts of this node that are under way. */
  readonly inFlight: number;
  /** Last end of an attempt, or the start of the first one since idle. */
  readonly lastProgressAtMs: number;
  /** Last end of an attempt; what was seen before it fades. */
  readonly updatedAtMs: number;
  /** Time of an attempt over the usual time of its kind; 1 is usual. */
  readonly latencyRatio: number;
  /** Attempts that gave a time since the start or the last ejection. */
  readonly sampleCount: number;
  /** Share of failed attempts, decaying, 0 to 1. */
  readonly failureShare: number;
  /** Share of refused attempts, decaying, 0 to 1. */
  readonly refusalShare: number;
  /** When its share of the work began to grow. */
  readonly rampStartMs: number;
  readonly ejection: Ejection | undefined;
  /** Ejections in a row; sets the next back-off. */
  readonly ejectionCount: number;
  readonly restoredAtMs: number;
  /** Load by the platform's own endpoints, per cent: it may mislead. */
  readonly hintedLoad: number | undefined;
}

/** A backend server without traffic, but for probes. */
export interface Ejection {
  /** No probe before this, wall clock in milliseconds. */
  readonly untilMs: number;
}

/** How an attempt ended, for the view of its backend server. */
export interface AttemptReport {
  readonly service: string;
  readonly nodeId: string;
  /** Kind of request: each has its own usual time. */
  readonly kind: string;
  readonly latencyMs: number;
  /** `cancelled`: given up on this side, by the caller or its deadline. */
  readonly result: "answered" | "refused" | "failed" | "cancelled";
  readonly isDraining: boolean;
  /** Load hint that came with the answer, per cent. */
  readonly hintedLoad?: number | undefined;
}

/** Time until a new backend server gets its full share, in milliseconds. */
export const RAMP_DURATION_MS = 10_000;
/** Share of a backend server that has just come. */
const INITIAL_RAMP_SHARE = 0.1;
/** Weight of a new sample in the shares of failures and refusals. */
const RESULT_GAIN = 0.2;
/** Weight of a faster sample; a slower one weighs in by `RISE_GAIN`. */
const LATENCY_FALL_GAIN = 0.1;
const LATENCY_RISE_GAIN = 0.3;
/** One sample counts at most this much, so that one can't eject by itself. */
const MAX_SAMPLE_RATIO = 20;
/** Shortest time without progress that counts as a stall. */
const MIN_STALL_MS = 50;
/** Time constant of the fading, in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 2_000;
const FAILURE_COST_FACTOR = 8;
const REFUSAL_COST_FACTOR = 2;

/** Creates the view of a backend server that was not seen before. */
export function createView(
  announcement: Announcement,
  rampFromMs: number,
): BackendView {
  return {
    announcement,
    inFlight: 0,
    lastProgressAtMs: 0,
    updatedAtMs: 0,
    latencyRatio: 1,
    sampleCount: 0,
    failureShare: 0,
    refusalShare: 0,
    rampStartMs: rampFromMs,
    ejection: undefined,
    ejectionCount: 0,
    restoredAtMs: 0,
    hintedLoad: undefined,
  };
}

/** Notes that an attempt was sent. */
export function recordAttemptStart(
  view: BackendView,
  nowMs: number,
): BackendView {
  return {
    ...view,
    inFlight: view.inFlight + 1,
    lastProgressAtMs: view.inFlight === 0 ? nowMs : view.lastProgressAtMs,
  };
}

/**
 * Notes how an attempt ended; `ratio` is its time over the usual one. What
 * this side gave up is no failure: it tells only that the attempt would have
 * taken at least so long, which counts where it is longer than was known.
 */
export function recordAttemptEnd(
  view: BackendView,
  seen: { readonly report: AttemptReport; readonly ratio: number },
  nowMs: number,
): BackendView {
  const { report, ratio } = seen;
  const { result } = report;
  const isOver = result !== "cancelled";
  const hasAnswer = isOver && result !== "failed";
  const isTimed = result === "answered" ||
    (!isOver && ratio > view.latencyRatio);
  const failed = result === "failed" ? 1 : 0;
  const refused = result === "refused" ? 1 : 0;
  return {
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
    lastProgressAtMs: isOver ? nowMs : view.lastProgressAtMs,
    updatedAtMs: isOver || isTimed ? nowMs : view.updatedAtMs,
    latencyRatio: isTimed
      ? updateLatencyRatio(view.latencyRatio, ratio)
      : view.latencyRatio,
    sampleCount: view.sampleCount + (isTimed ? 1 : 0),
    failureShare: isOver
      ? updateAverage(view.failureShare, failed, RESULT_GAIN)
      : view.failureShare,
    refusalShare: isOver
      ? updateAverage(view.refusalShare, refused, RESULT_GAIN)
      : view.refusalShare,
    hintedLoad: hasAnswer ? report.hintedLoad : view.hintedLoad,
  };
}

/**
 * Slowness with what is still under way: a backend server that ends nothing
 * for longer than its slowest kind usually takes counts as that slow.
 */
export function computeLatencyRatio(
  view: BackendView,
  slowestUsualMs: number,
  nowMs: number,
): number {
  const seen = 1 + (view.latencyRatio - 1) * computeDecay(view, nowMs);
  if (view.inFlight === 0) {
    return seen;
  }
  const stalledMs = nowMs - view.lastProgressAtMs;
  const expectedMs = Math.max(MIN_STALL_MS, slowestUsualMs);
  return Math.max(seen, stalledMs / expectedMs);
}

/** Share of its slots that a backend server gets, 0.1 to 1. */
export function computeRampShare(view: BackendView, nowMs: number): number {
  const grown = (nowMs - view.rampStartMs) / RAMP_DURATION_MS;
  return Math.min(1, Math.max(INITIAL_RAMP_SHARE, grown));
}

/** Whether this node alone fills the slots that the backend server has. */
export function isSaturated(view: BackendView, nowMs: number): boolean {
  const slots = view.announcement.slots * computeRampShare(view, nowMs);
  return view.inFlight >= Math.max(1, slots);
}

/**
 * Cost of one more attempt: load times time, as in the peak-EWMA balancer of
 * Finagle, with the time measured against the usual one of the same kind. While
 * a backend server ramps up, each attempt under way there counts for several.
 */
export function computeCost(
  view: BackendView,
  slowestUsualMs: number,
  nowMs: number,
): number {
  const counted = view.inFlight / computeRampShare(view, nowMs) + 1;
  const load = counted / view.announcement.slots;
  const trouble = FAILURE_COST_FACTOR * view.failureShare +
    REFUSAL_COST_FACTOR * view.refusalShare;
  const worse = 1 + trouble * computeDecay(view, nowMs);
  return load * computeLatencyRatio(view, slowestUsualMs, nowMs) * worse;
}

/** What is left of an old impression, so that the unused are tried again. */
function computeDecay(view: BackendView, nowMs: number): number {
  return Math.exp(
    -Math.max(0, nowMs - view.updatedAtMs) / DECAY_TIME_CONSTANT_MS,
  );
}

function updateLatencyRatio(current: number, ratio: number): number {
  const sample = Math.min(MAX_SAMPLE_RATIO, ratio);
  return updateAverage(
    current,
    sample,
    sample > current ? LATENCY_RISE_GAIN : LATENCY_FALL_GAIN,
  );
}

function updateAverage(current: number, sample: number, gain: number): number {
  return current + gain * (sample - current);
}
