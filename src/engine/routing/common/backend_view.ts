/** One backend server as this node sees it, and what an attempt there costs. */
import type { Announcement } from "../../membership/common/announcement.ts";

/** What this node saw of one backend server. */
export interface BackendView {
  readonly announcement: Announcement;
  /** Attempts of this node that are under way. */
  readonly inFlight: number;
  /** Last end of an attempt, or the start of the first one since idle. */
  readonly progressAtMs: number;
  /** Last end of an attempt; what was seen before it fades. */
  readonly seenAtMs: number;
  /** Time of an attempt over the usual time of its kind; 1 is usual. */
  readonly slowness: number;
  /** Attempts that gave a time since the start or the last ejection. */
  readonly samples: number;
  /** Share of failed attempts, decaying, 0 to 1. */
  readonly failures: number;
  /** Share of refused attempts, decaying, 0 to 1. */
  readonly refusals: number;
  /** When its share of the work began to grow. */
  readonly rampFromMs: number;
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
export const RAMP_MS = 10_000;
/** Share of a backend server that has just come. */
const RAMP_START = 0.1;
/** Weight of a new sample in the shares of failures and refusals. */
const RESULT_GAIN = 0.2;
/** Weight of a faster sample; a slower one weighs in by `RISE_GAIN`. */
const FALL_GAIN = 0.1;
const RISE_GAIN = 0.3;
/** One sample counts at most this much, so that one can't eject by itself. */
const MAX_SAMPLE_RATIO = 20;
/** Shortest time without progress that counts as a stall. */
const MIN_STALL_MS = 50;
/** Time constant of the fading, in milliseconds. */
const FADE_MS = 2_000;
const FAILURE_WEIGHT = 8;
const REFUSAL_WEIGHT = 2;

/** Creates the view of a backend server that was not seen before. */
export function createView(
  announcement: Announcement,
  rampFromMs: number,
): BackendView {
  return {
    announcement,
    inFlight: 0,
    progressAtMs: 0,
    seenAtMs: 0,
    slowness: 1,
    samples: 0,
    failures: 0,
    refusals: 0,
    rampFromMs,
    ejection: undefined,
    ejectionCount: 0,
    restoredAtMs: 0,
    hintedLoad: undefined,
  };
}

/** Notes that an attempt was sent. */
export function noteStart(view: BackendView, nowMs: number): BackendView {
  return {
    ...view,
    inFlight: view.inFlight + 1,
    progressAtMs: view.inFlight === 0 ? nowMs : view.progressAtMs,
  };
}

/**
 * Notes how an attempt ended; `ratio` is its time over the usual one. What
 * this side gave up is no failure: it tells only that the attempt would have
 * taken at least so long, which counts where it is longer than was known.
 */
export function noteEnd(
  view: BackendView,
  seen: { readonly report: AttemptReport; readonly ratio: number },
  nowMs: number,
): BackendView {
  const { report, ratio } = seen;
  const { result } = report;
  const isOver = result !== "cancelled";
  const hasAnswer = isOver && result !== "failed";
  const isTimed = result === "answered" || (!isOver && ratio > view.slowness);
  const failed = result === "failed" ? 1 : 0;
  const refused = result === "refused" ? 1 : 0;
  return {
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
    progressAtMs: isOver ? nowMs : view.progressAtMs,
    seenAtMs: isOver || isTimed ? nowMs : view.seenAtMs,
    slowness: isTimed ? mixSlowness(view.slowness, ratio) : view.slowness,
    samples: view.samples + (isTimed ? 1 : 0),
    failures: isOver ? mix(view.failures, failed, RESULT_GAIN) : view.failures,
    refusals: isOver ? mix(view.refusals, refused, RESULT_GAIN) : view.refusals,
    hintedLoad: hasAnswer ? report.hintedLoad : view.hintedLoad,
  };
}

/**
 * Slowness with what is still under way: a backend server that ends nothing
 * for longer than its slowest kind usually takes counts as that slow.
 */
export function computeSlowness(
  view: BackendView,
  slowestUsualMs: number,
  nowMs: number,
): number {
  const seen = 1 + (view.slowness - 1) * computeFade(view, nowMs);
  if (view.inFlight === 0) {
    return seen;
  }
  const stalledMs = nowMs - view.progressAtMs;
  const expectedMs = Math.max(MIN_STALL_MS, slowestUsualMs);
  return Math.max(seen, stalledMs / expectedMs);
}

/** Share of its slots that a backend server gets, 0.1 to 1. */
export function computeRamp(view: BackendView, nowMs: number): number {
  const grown = (nowMs - view.rampFromMs) / RAMP_MS;
  return Math.min(1, Math.max(RAMP_START, grown));
}

/** Whether this node alone fills the slots that the backend server has. */
export function isSaturated(view: BackendView, nowMs: number): boolean {
  const slots = view.announcement.slots * computeRamp(view, nowMs);
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
  const counted = view.inFlight / computeRamp(view, nowMs) + 1;
  const load = counted / view.announcement.slots;
  const trouble = FAILURE_WEIGHT * view.failures +
    REFUSAL_WEIGHT * view.refusals;
  const worse = 1 + trouble * computeFade(view, nowMs);
  return load * computeSlowness(view, slowestUsualMs, nowMs) * worse;
}

/** What is left of an old impression, so that the unused are tried again. */
function computeFade(view: BackendView, nowMs: number): number {
  return Math.exp(-Math.max(0, nowMs - view.seenAtMs) / FADE_MS);
}

function mixSlowness(current: number, ratio: number): number {
  const sample = Math.min(MAX_SAMPLE_RATIO, ratio);
  return mix(current, sample, sample > current ? RISE_GAIN : FALL_GAIN);
}

function mix(current: number, sample: number, gain: number): number {
  return current + gain * (sample - current);
}
