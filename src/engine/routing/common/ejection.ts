/** Takes traffic from stragglers and failing backend servers for a while. */
import type { BackendView } from "./backend_view.ts";

/** First time without traffic; it doubles with each ejection in a row. */
export const INITIAL_EJECTION_MS = 500;
/** Longest time without traffic. */
export const MAX_EJECTION_MS = 30_000;
/** Healthy this long after its return, a backend server starts anew. */
const EJECTION_COUNT_RESET_MS = 30_000;
/** Share of failed attempts that ejects: about four in a row. */
const MAX_FAILURE_SHARE = 0.5;
/** Slowness over the median of the service's that ejects. */
const MAX_LATENCY_RATIO = 4;
/** A probe within this many times the median brings the traffic back. */
const MAX_PROBE_LATENCY_RATIO = 2;
/** Attempts needed before slowness ejects. */
const MIN_SAMPLE_COUNT = 3;
/** One in so many members may be ejected, and always one of two. */
const EJECTED_DIVISOR = 3;

/** How many of `count` backend servers may be ejected at a time. */
export function computeEjectionLimit(count: number): number {
  return count < 2 ? 0 : Math.max(1, Math.floor(count / EJECTED_DIVISOR));
}

/** What the ends of attempts came to for a service. */
export interface ServiceEvaluation {
  readonly views: readonly BackendView[];
  readonly isMostlyUnhealthy: boolean;
  readonly hasEjected: boolean;
}

/**
 * Ejects the view at `index` if it looks bad, or settles its probe. At the
 * limit, and where most of the service looks bad, nobody more is ejected: then
 * the fault is not one backend server's.
 */
export function evaluateView(
  views: readonly BackendView[],
  index: number,
  nowMs: number,
): ServiceEvaluation {
  const median = computeMedianLatencyRatio(views);
  let ejected = 0;
  let bad = 0;
  for (const view of views) {
    ejected += view.ejection === undefined ? 0 : 1;
    bad += isUnhealthy(view, median) ? 1 : 0;
  }
  const isMostlyBad = (ejected + bad) * 2 > views.length;
  const hasRoom = ejected < computeEjectionLimit(views.length);
  const canEject = hasRoom && bad * 2 <= views.length;
  const view = views[index]!;
  const next = updateEjection(view, { median, canEject }, nowMs);
  return {
    views: next === view ? views : views.with(index, next),
    isMostlyUnhealthy: isMostlyBad,
    hasEjected: ejected > 0 || next.ejection !== undefined,
  };
}

/** Whether an ejected backend server may be tried with one attempt. */
export function isProbeDue(view: BackendView, nowMs: number): boolean {
  return view.ejection !== undefined && view.ejection.untilMs <= nowMs &&
    view.inFlight === 0;
}

function isUnhealthy(view: BackendView, median: number): boolean {
  const isSlow = view.sampleCount >= MIN_SAMPLE_COUNT &&
    view.latencyRatio > MAX_LATENCY_RATIO * median;
  return isSlow || view.failureShare > MAX_FAILURE_SHARE;
}

function updateEjection(
  view: BackendView,
  among: { readonly median: number; readonly canEject: boolean },
  nowMs: number,
): BackendView {
  if (view.ejection !== undefined) {
    return evaluateProbe(view, among.median, nowMs);
  }
  return among.canEject && isUnhealthy(view, among.median)
    ? eject(view, nowMs)
    : resetEjectionCount(view, nowMs);
}

function eject(view: BackendView, nowMs: number): BackendView {
  const backOffMs = INITIAL_EJECTION_MS * 2 ** view.ejectionCount;
  const untilMs = nowMs + Math.min(MAX_EJECTION_MS, backOffMs);
  return {
    ...view,
    ejection: { untilMs },
    ejectionCount: view.ejectionCount + 1,
    sampleCount: 0,
    latencyRatio: 1,
    failureShare: 0,
  };
}

/** The first end of an attempt after the back-off decides. */
function evaluateProbe(
  view: BackendView,
  median: number,
  nowMs: number,
): BackendView {
  const isEarly = view.ejection!.untilMs > nowMs;
  if (isEarly) {
    return { ...view, sampleCount: 0, latencyRatio: 1, failureShare: 0 };
  }
  if (view.failureShare > 0) {
    return eject(view, nowMs);
  }
  if (view.sampleCount === 0) {
    return view;
  }
  if (view.latencyRatio > MAX_PROBE_LATENCY_RATIO * median) {
    return eject(view, nowMs);
  }
  return {
    ...view,
    ejection: undefined,
    restoredAtMs: nowMs,
    rampStartMs: nowMs,
  };
}

function resetEjectionCount(view: BackendView, nowMs: number): BackendView {
  return view.ejectionCount > 0 &&
      nowMs - view.restoredAtMs > EJECTION_COUNT_RESET_MS
    ? { ...view, ejectionCount: 0 }
    : view;
}

/** The lower median of the slowness of those that have traffic. */
function computeMedianLatencyRatio(views: readonly BackendView[]): number {
  const sorted: number[] = [];
  for (const { ejection, latencyRatio: slowness } of views) {
    if (ejection === undefined) {
      sorted.push(slowness);
    }
  }
  sorted.sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 1;
}
