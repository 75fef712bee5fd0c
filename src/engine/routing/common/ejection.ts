/** Temporary ejection of straggling and failing backend servers. */
import type { BackendView } from "./backend_view.ts";

/** Duration of the first ejection; doubles with each consecutive one. */
export const INITIAL_EJECTION_MS = 500;
/** Upper bound of the duration of an ejection. */
export const MAX_EJECTION_MS = 30_000;
/** Time since the last ejection ended after which the back-off starts over. */
const EJECTION_COUNT_RESET_MS = 30_000;
/** A higher failure share ejects: about four consecutive failures. */
const MAX_FAILURE_SHARE = 0.5;
/** A latency ratio above this multiple of the service's median ejects. */
const MAX_LATENCY_RATIO = 4;
/** A probe within this multiple of the median ends the ejection. */
const MAX_PROBE_LATENCY_RATIO = 2;
/** Latency samples required before an ejection for high latency. */
const MIN_SAMPLE_COUNT = 3;
/** One backend server in this many may be ejected; of two, one may be. */
const EJECTED_DIVISOR = 3;

/** Computes how many of `count` backend servers may be ejected at once. */
export function computeEjectionLimit(count: number): number {
  return count < 2 ? 0 : Math.max(1, Math.floor(count / EJECTED_DIVISOR));
}

/** Health of the backend servers of one service. */
export interface ServiceEvaluation {
  readonly views: readonly BackendView[];
  /** Whether more than half are unhealthy or ejected. */
  readonly isMostlyUnhealthy: boolean;
  readonly hasEjected: boolean;
}

/**
 * Ejects the view at `index` if it is unhealthy, or evaluates its probe. At the
 * ejection limit, or when more than half of the service is unhealthy, no
 * further view is ejected: a fault of most backend servers has a common cause
 * that ejection doesn't remedy.
 */
export function evaluateView(
  views: readonly BackendView[],
  index: number,
  nowMs: number,
): ServiceEvaluation {
  const median = computeMedianLatencyRatio(views);
  let ejectedCount = 0;
  let unhealthyCount = 0;
  for (const view of views) {
    ejectedCount += view.ejection === undefined ? 0 : 1;
    unhealthyCount += isUnhealthy(view, median) ? 1 : 0;
  }
  const isMostlyUnhealthy = (ejectedCount + unhealthyCount) * 2 > views.length;
  const isBelowLimit = ejectedCount < computeEjectionLimit(views.length);
  const canEject = isBelowLimit && unhealthyCount * 2 <= views.length;
  const view = views[index]!;
  const next = updateEjection(view, { median, canEject }, nowMs);
  return {
    views: next === view ? views : views.with(index, next),
    isMostlyUnhealthy,
    hasEjected: ejectedCount > 0 || next.ejection !== undefined,
  };
}

/** Whether an ejected backend server may get one attempt as a probe. */
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
  service: { readonly median: number; readonly canEject: boolean },
  nowMs: number,
): BackendView {
  if (view.ejection !== undefined) {
    return evaluateProbe(view, service.median, nowMs);
  }
  return service.canEject && isUnhealthy(view, service.median)
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

/**
 * Ends or repeats the ejection by the first result after the back-off.
 * Results that arrive during the back-off are discarded.
 */
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

/** Computes the lower median over the views that are not ejected. */
function computeMedianLatencyRatio(views: readonly BackendView[]): number {
  const sorted: number[] = [];
  for (const { ejection, latencyRatio } of views) {
    if (ejection === undefined) {
      sorted.push(latencyRatio);
    }
  }
  sorted.sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 1;
}
