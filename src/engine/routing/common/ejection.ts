/** Takes traffic from stragglers and failing backend servers for a while. */
import type { BackendView } from "./backend_view.ts";

/** First time without traffic; it doubles with each ejection in a row. */
export const EJECTION_MS = 500;
/** Longest time without traffic. */
export const MAX_EJECTION_MS = 30_000;
/** Healthy this long after its return, a backend server starts anew. */
const FORGET_MS = 30_000;
/** Share of failed attempts that ejects: about four in a row. */
const FAILURE_LIMIT = 0.5;
/** Slowness over the median of the service's that ejects. */
const SLOWNESS_LIMIT = 4;
/** A probe within this many times the median brings the traffic back. */
const PROBE_LIMIT = 2;
/** Attempts needed before slowness ejects. */
const MIN_SAMPLES = 3;
/** One in so many members may be ejected, and always one of two. */
const EJECTED_PART = 3;

/** How many of `count` backend servers may be ejected at a time. */
export function computeEjectionLimit(count: number): number {
  return count < 2 ? 0 : Math.max(1, Math.floor(count / EJECTED_PART));
}

/** What the ends of attempts came to for a service. */
export interface Judgement {
  readonly views: readonly BackendView[];
  readonly isMostlyBad: boolean;
  readonly hasEjected: boolean;
}

/**
 * Ejects the view at `index` if it looks bad, or settles its probe. At the
 * limit, and where most of the service looks bad, nobody more is ejected: then
 * the fault is not one backend server's.
 */
export function judgeView(
  views: readonly BackendView[],
  index: number,
  nowMs: number,
): Judgement {
  const median = findMedian(views);
  let ejected = 0;
  let bad = 0;
  for (const view of views) {
    ejected += view.ejection === undefined ? 0 : 1;
    bad += isBad(view, median) ? 1 : 0;
  }
  const isMostlyBad = (ejected + bad) * 2 > views.length;
  const hasRoom = ejected < computeEjectionLimit(views.length);
  const canEject = hasRoom && bad * 2 <= views.length;
  const view = views[index]!;
  const next = judge(view, { median, canEject }, nowMs);
  return {
    views: next === view ? views : views.with(index, next),
    isMostlyBad,
    hasEjected: ejected > 0 || next.ejection !== undefined,
  };
}

/** Whether an ejected backend server may be tried with one attempt. */
export function isProbeDue(view: BackendView, nowMs: number): boolean {
  return view.ejection !== undefined && view.ejection.untilMs <= nowMs &&
    view.inFlight === 0;
}

function isBad(view: BackendView, median: number): boolean {
  const isSlow = view.samples >= MIN_SAMPLES &&
    view.slowness > SLOWNESS_LIMIT * median;
  return isSlow || view.failures > FAILURE_LIMIT;
}

function judge(
  view: BackendView,
  among: { readonly median: number; readonly canEject: boolean },
  nowMs: number,
): BackendView {
  if (view.ejection !== undefined) {
    return settleProbe(view, among.median, nowMs);
  }
  return among.canEject && isBad(view, among.median)
    ? eject(view, nowMs)
    : forgetEjections(view, nowMs);
}

function eject(view: BackendView, nowMs: number): BackendView {
  const backOffMs = EJECTION_MS * 2 ** view.ejectionCount;
  const untilMs = nowMs + Math.min(MAX_EJECTION_MS, backOffMs);
  return {
    ...view,
    ejection: { untilMs },
    ejectionCount: view.ejectionCount + 1,
    samples: 0,
    slowness: 1,
    failures: 0,
  };
}

/** The first end of an attempt after the back-off decides. */
function settleProbe(
  view: BackendView,
  median: number,
  nowMs: number,
): BackendView {
  const isEarly = view.ejection!.untilMs > nowMs;
  if (isEarly) {
    return { ...view, samples: 0, slowness: 1, failures: 0 };
  }
  if (view.failures > 0) {
    return eject(view, nowMs);
  }
  if (view.samples === 0) {
    return view;
  }
  if (view.slowness > PROBE_LIMIT * median) {
    return eject(view, nowMs);
  }
  return {
    ...view,
    ejection: undefined,
    restoredAtMs: nowMs,
    rampFromMs: nowMs,
  };
}

function forgetEjections(view: BackendView, nowMs: number): BackendView {
  return view.ejectionCount > 0 && nowMs - view.restoredAtMs > FORGET_MS
    ? { ...view, ejectionCount: 0 }
    : view;
}

/** The lower median of the slowness of those that have traffic. */
function findMedian(views: readonly BackendView[]): number {
  const sorted: number[] = [];
  for (const { ejection, slowness } of views) {
    if (ejection === undefined) {
      sorted.push(slowness);
    }
  }
  sorted.sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 1;
}
