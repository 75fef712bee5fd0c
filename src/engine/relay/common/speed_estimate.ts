/**
 * Estimates the usual service time of a backend server, independently of the mix
 * of its routes.
 *
 * Load pattern: routes of 62 ms and 39 ms whose shares of the calls change, at a
 * backend server whose speed may change within 600 ms. A mean over all calls
 * would show a change of the mix as a change of speed.
 *
 * The slowdown that the backend server reports is momentary, everything else in
 * a measured time is the server's usual speed: each sample is divided by the
 * slowdown at its start, so that the product of both counts it once. The slow
 * phase of a new process instance isn't reported, and is part of the speed.
 */
import { computeSampleGain } from "../../../base/common/sample_gain.ts";

/** Cost of one route, at the speed of 1. */
interface RouteCost {
  costMs: number;
  sampleCount: number;
  sampledAtMs: number;
}

/** State of the estimate; updated in place. */
export interface SpeedEstimate {
  /** Costs by route; their ratios don't depend on the speed. */
  readonly costs: Map<string, RouteCost>;
  /** Current service times in multiples of the costs. */
  slowness: number;
  sampledAtMs: number;
  /** The last changes of the reported slowdown, oldest first. */
  readonly slowdowns: SlowdownChange[];
}

/** A slowdown that differs from the one reported before. */
interface SlowdownChange {
  readonly factor: number;
  readonly reportedAtMs: number;
}

/** One run of a route. */
export interface SpeedSample {
  readonly route: string;
  /** Measured time of the run. */
  readonly serviceMs: number;
}

/**
 * Weight of a sample in the slowness: a change shows to 0.95 after three time
 * constants, and one run may take far longer than the usual ones.
 */
const SLOWNESS_GAIN = { min: 0, max: 0.1, timeConstantMs: 150 };
/** The same where runs are so few that a change would show after many seconds. */
const RARE_SLOWNESS_GAIN = { min: 0, max: 0.25, timeConstantMs: 2_500 };
/**
 * Lowest weight of a sample in the cost of its route. With the slowness a
 * hundred times as quick, a change of speed hardly shows in the costs.
 */
const MIN_COST_GAIN = 0.01;
/**
 * A route without a sample for this long no longer counts, so that gates with the
 * same routes take the mean over the same ones.
 */
const ROUTE_VALID_MS = 60_000;
/** Times below are not told apart; a ratio to 0 would be none. */
const MIN_SAMPLE_MS = 0.01;
/** Lowest figure after a sample: 0, also rounded, stands for no sample. */
const MIN_SERVICE_MS = 1;
/** Changes of the slowdown that are kept; more than there are during one run. */
const MAX_SLOWDOWNS = 16;

/** Creates the estimate of a process instance without runs. */
export function createSpeedEstimate(): SpeedEstimate {
  return {
    costs: new Map(),
    slowness: 1,
    sampledAtMs: 0,
    slowdowns: [],
  };
}

/** Records the slowdown that the backend server reported. */
export function recordSlowdownChange(
  { slowdowns }: SpeedEstimate,
  factor: number,
  nowMs: number,
): void {
  if (slowdowns.at(-1)?.factor !== factor) {
    slowdowns.push({ factor, reportedAtMs: nowMs });
    slowdowns.splice(0, slowdowns.length - MAX_SLOWDOWNS);
  }
}

/** Finds the slowdown at a time; the first known one before any was reported. */
function findSlowdown({ slowdowns }: SpeedEstimate, atMs: number): number {
  const change =
    slowdowns.findLast(({ reportedAtMs }) => reportedAtMs <= atMs) ??
      slowdowns[0];
  return change?.factor ?? 1;
}

/** Records a completed run. */
export function recordSample(
  estimate: SpeedEstimate,
  { route, serviceMs }: SpeedSample,
  nowMs: number,
): void {
  const slowdown = findSlowdown(estimate, nowMs - serviceMs);
  const usualMs = Math.max(MIN_SAMPLE_MS, serviceMs / slowdown);
  const cost = estimate.costs.get(route);
  if (cost !== undefined) {
    const elapsedMs = nowMs - estimate.sampledAtMs;
    const gain = Math.max(
      computeSampleGain(elapsedMs, SLOWNESS_GAIN),
      computeSampleGain(elapsedMs, RARE_SLOWNESS_GAIN),
    );
    estimate.slowness += (usualMs / cost.costMs - estimate.slowness) * gain;
  }
  estimate.sampledAtMs = nowMs;
  updateCost(estimate, route, usualMs / estimate.slowness, nowMs);
}

function updateCost(
  { costs }: SpeedEstimate,
  route: string,
  sampleMs: number,
  nowMs: number,
): void {
  const cost = costs.get(route);
  if (cost === undefined) {
    costs.set(route, { costMs: sampleMs, sampleCount: 1, sampledAtMs: nowMs });
    return;
  }
  cost.sampleCount += 1;
  cost.sampledAtMs = nowMs;
  cost.costMs += (sampleMs - cost.costMs) *
    Math.max(MIN_COST_GAIN, 1 / cost.sampleCount);
}

/**
 * Computes the usual service time: the mean over the costs of the routes, with
 * equal weights, times the slowness; 0 before the first sample.
 */
export function computeUsualServiceMs(
  { costs, slowness, sampledAtMs }: SpeedEstimate,
): number {
  let sumMs = 0;
  let count = 0;
  for (const [route, cost] of costs) {
    if (sampledAtMs - cost.sampledAtMs > ROUTE_VALID_MS) {
      costs.delete(route);
    } else {
      sumMs += cost.costMs;
      count += 1;
    }
  }
  return count === 0 ? 0 : Math.max(MIN_SERVICE_MS, sumMs / count * slowness);
}
