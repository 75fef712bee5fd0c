/** This node's view of one backend server, and the cost of an attempt there. */
import type { Announcement } from "../../membership/common/announcement.ts";

/**
 * What this node has measured of one backend server. Averages are
 * exponentially weighted; times are steady clock in milliseconds.
 */
export interface BackendView {
  readonly announcement: Announcement;
  /** Attempts sent by this node that have not ended. */
  readonly inFlight: number;
  /**
   * End of the latest completed attempt, or the start of the first attempt
   * after an idle period.
   */
  readonly lastProgressAtMs: number;
  /** Last update of the averages below, which decay from then on. */
  readonly updatedAtMs: number;
  /** Average ratio of an attempt's latency to the baseline of its kind. */
  readonly latencyRatio: number;
  /** Latency samples since the view was created or last ejected. */
  readonly sampleCount: number;
  /** Average share of failed attempts, 0 to 1. */
  readonly failureShare: number;
  /** Average share of refused attempts, 0 to 1. */
  readonly refusalShare: number;
  /** Start of the ramp over which its share of the work grows. */
  readonly rampStartMs: number;
  /** Undefined unless the backend server is ejected. */
  readonly ejection: Ejection | undefined;
  /** Consecutive ejections; each doubles the next back-off. */
  readonly ejectionCount: number;
  /** End of the last ejection. */
  readonly restoredAtMs: number;
  /**
   * Load reported by the platform's own endpoint, in per cent. It may be
   * wrong, so it only breaks ties. Undefined when not reported.
   */
  readonly hintedLoad: number | undefined;
}

/** A period in which a backend server gets no attempts except probes. */
export interface Ejection {
  /** Earliest time of a probe, steady clock in milliseconds. */
  readonly untilMs: number;
}

/** Result of one attempt, used to update the view of its backend server. */
export interface AttemptReport {
  readonly service: string;
  readonly nodeId: string;
  /** Kind of request; each kind has its own latency baseline. */
  readonly kind: string;
  readonly latencyMs: number;
  /** `cancelled`: ended on this side, by the caller or by the deadline. */
  readonly result: "answered" | "refused" | "failed" | "cancelled";
  /** Whether the answer stated that the backend server is draining. */
  readonly isDraining: boolean;
  /** Load hint of the answer, in per cent. */
  readonly hintedLoad?: number | undefined;
}

/** Time in which a new backend server reaches its full share of the work. */
export const RAMP_DURATION_MS = 10_000;
/** Share of its slots that a new backend server starts with. */
const INITIAL_RAMP_SHARE = 0.1;
/** Weight of a new sample in the failure and refusal shares. */
const RESULT_GAIN = 0.2;
/** Weight of a latency sample below the average. */
const LATENCY_FALL_GAIN = 0.1;
/** Weight of a latency sample above the average. */
const LATENCY_RISE_GAIN = 0.3;
/** Upper bound of one latency sample, to limit the effect of an outlier. */
const MAX_SAMPLE_RATIO = 20;
/** Shortest time without progress that counts as a stall. */
const MIN_STALL_MS = 50;
/** Time constant of the exponential decay of the averages. */
const DECAY_TIME_CONSTANT_MS = 2_000;
/** Cost added by a failure share of 1, as a multiple of the base cost. */
const FAILURE_COST_FACTOR = 8;
/** Cost added by a refusal share of 1, as a multiple of the base cost. */
const REFUSAL_COST_FACTOR = 2;

/** Creates the view of a backend server without any measurements. */
export function createView(
  announcement: Announcement,
  rampStartMs: number,
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
    rampStartMs,
    ejection: undefined,
    ejectionCount: 0,
    restoredAtMs: 0,
    hintedLoad: undefined,
  };
}

/** Records that an attempt was sent. */
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
 * Records the result of an attempt; `ratio` is its latency divided by the
 * baseline. A cancelled attempt is not a failure. It only shows that the
 * latency would have been at least that long, so it counts as a sample only
 * where its ratio exceeds the average.
 */
export function recordAttemptEnd(
  view: BackendView,
  ended: { readonly report: AttemptReport; readonly ratio: number },
  nowMs: number,
): BackendView {
  const { report, ratio } = ended;
  const { result } = report;
  const isCompleted = result !== "cancelled";
  const hasAnswer = isCompleted && result !== "failed";
  const isSample = result === "answered" ||
    (!isCompleted && ratio > view.latencyRatio);
  const failed = result === "failed" ? 1 : 0;
  const refused = result === "refused" ? 1 : 0;
  // What has decayed since the last sample must not count again with one that
  // speaks against it, or that says nothing of it.
  const decay = computeDecay(view, nowMs);
  const decayedPart = 1 - decay;
  const isUpdated = isCompleted || isSample;
  const remaining = isUpdated ? decay : 1;
  return {
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
    lastProgressAtMs: isCompleted ? nowMs : view.lastProgressAtMs,
    updatedAtMs: isUpdated ? nowMs : view.updatedAtMs,
    latencyRatio: isSample
      ? updateLatencyRatio(view.latencyRatio, ratio, decayedPart)
      : 1 + (view.latencyRatio - 1) * remaining,
    sampleCount: view.sampleCount + (isSample ? 1 : 0),
    failureShare: isCompleted
      ? updateShare(view.failureShare, failed, decayedPart)
      : view.failureShare * remaining,
    refusalShare: isCompleted
      ? updateShare(view.refusalShare, refused, decayedPart)
      : view.refusalShare * remaining,
    hintedLoad: hasAnswer ? report.hintedLoad : view.hintedLoad,
  };
}

/**
 * Computes the latency ratio including attempts in flight: a backend server
 * that completes none of them for longer than the highest baseline of its
 * service is rated by the length of the stall.
 */
export function computeLatencyRatio(
  view: BackendView,
  maxBaselineMs: number,
  nowMs: number,
): number {
  const measured = 1 + (view.latencyRatio - 1) * computeDecay(view, nowMs);
  if (view.inFlight === 0) {
    return measured;
  }
  const stalledMs = nowMs - view.lastProgressAtMs;
  const expectedMs = Math.max(MIN_STALL_MS, maxBaselineMs);
  return Math.max(measured, stalledMs / expectedMs);
}

/** Computes the share of its slots that a backend server gets, 0.1 to 1. */
export function computeRampShare(view: BackendView, nowMs: number): number {
  const elapsedShare = (nowMs - view.rampStartMs) / RAMP_DURATION_MS;
  return Math.min(1, Math.max(INITIAL_RAMP_SHARE, elapsedShare));
}

/** Whether the attempts of this node alone fill the available slots. */
export function isSaturated(view: BackendView, nowMs: number): boolean {
  const slots = view.announcement.slots * computeRampShare(view, nowMs);
  return view.inFlight >= Math.max(1, slots);
}

/**
 * Computes the cost of one more attempt: load times latency, as in the
 * peak-EWMA balancer of Finagle, but with latency relative to the baseline of
 * the same kind. During the ramp, attempts in flight are weighted by the
 * inverse of the ramp share.
 */
export function computeCost(
  view: BackendView,
  maxBaselineMs: number,
  nowMs: number,
): number {
  const weightedCount = view.inFlight / computeRampShare(view, nowMs) + 1;
  const load = weightedCount / view.announcement.slots;
  const penalty = FAILURE_COST_FACTOR * view.failureShare +
    REFUSAL_COST_FACTOR * view.refusalShare;
  const penaltyFactor = 1 + penalty * computeDecay(view, nowMs);
  return load * computeLatencyRatio(view, maxBaselineMs, nowMs) * penaltyFactor;
}

/**
 * Computes the remaining weight of the averages, 0 to 1. They decay so that a
 * backend server without recent attempts is tried again.
 */
function computeDecay(view: BackendView, nowMs: number): number {
  return Math.exp(
    -Math.max(0, nowMs - view.updatedAtMs) / DECAY_TIME_CONSTANT_MS,
  );
}

function updateLatencyRatio(
  current: number,
  ratio: number,
  decayedPart: number,
): number {
  const sample = Math.min(MAX_SAMPLE_RATIO, ratio);
  return updateAverage(
    current,
    sample,
    sample > current
      ? LATENCY_RISE_GAIN
      : Math.max(LATENCY_FALL_GAIN, decayedPart),
  );
}

function updateShare(
  current: number,
  sample: 0 | 1,
  decayedPart: number,
): number {
  const gain = sample === 1 ? RESULT_GAIN : Math.max(RESULT_GAIN, decayedPart);
  return updateAverage(current, sample, gain);
}

function updateAverage(current: number, sample: number, gain: number): number {
  return current + gain * (sample - current);
}
