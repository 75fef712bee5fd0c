/**
 * Estimates how many of a node's outgoing calls the runs of its backend server
 * made. When a run makes a call, that run is active, in addition to the runs
 * that are active by chance; when a caller sends a request of its own, there
 * are only the latter. The excess of active runs at calls over their mean is
 * therefore the number of calls that runs made.
 *
 * Load pattern: it detects the calls of a busy backend server, where some run
 * is always active and a single coincidence has no significance.
 */

import type { CallRates } from "./call_rates.ts";

/** Estimate of the share of a route's calls that runs of other routes made. */
export interface ShareEstimate {
  /** About 0 if the runs made none of the calls, about 1 if they made all. */
  readonly share: number;
  /** Standard error of the share. */
  readonly error: number;
}

/** Runs of one route at the own backend server. */
interface Parent {
  /** Active runs. */
  running: number;
  /** When `runMs` was last updated. */
  changedAtMs: number;
  /** Sum of the run times in this interval, in milliseconds. */
  runMs: number;
  /** Runs that began, with exponential decay. */
  runs: number;
}

/** Calls of one route against runs of another one. */
interface Pair {
  /** Sum of the active runs at each call in this interval. */
  observed: number;
  /** Active runs above the mean, over the earlier intervals, with decay. */
  excess: number;
  /** Variance of `excess`. */
  variance: number;
}

/** Calls of one route from the own VM. */
interface Calls {
  /** Number in this interval. */
  count: number;
  /** Number in the earlier intervals, with exponential decay. */
  total: number;
  /** By the route of the runs. */
  readonly pairs: Map<string, Pair>;
}

/**
 * Interval of the means. A run as long as the interval is part of the mean at
 * all calls, so that none is attributed to it; with runs of 250 ms, a quarter
 * of the calls is missed. In longer intervals, changes of the load look like
 * coincidences.
 */
const INTERVAL_MS = 1_000;
/** Half-life of earlier intervals, as routes move to other services. */
const HALF_LIFE_MS = 10_000;
const UNKNOWN_SHARE: ShareEstimate = { share: 0, error: Infinity };

/** Counts the coincidences of calls and runs at one node, by route. */
export class CoincidenceCounter {
  readonly #parents = new Map<string, Parent>();
  readonly #calls = new Map<string, Calls>();
  readonly #rates: CallRates | undefined;
  #intervalStartMs = 0;

  /** `rates` are fed with what is recorded here; undefined if not needed. */
  constructor(rates?: CallRates) {
    this.#rates = rates;
  }

  /** Records that a run began (1) or ended (-1) at the own backend server. */
  recordRun(route: string, change: 1 | -1, nowMs: number): void {
    this.#advance(nowMs);
    this.#rates?.recordRun(route, change, nowMs);
    const parent = this.#parents.get(route) ??
      { running: 0, changedAtMs: nowMs, runMs: 0, runs: 0 };
    this.#parents.set(route, parent);
    addRunTime(parent, nowMs);
    parent.running = Math.max(0, parent.running + change);
    parent.runs += Math.max(0, change);
  }

  /** Records a call of a route from this VM. */
  recordCall(route: string, nowMs: number): void {
    this.#advance(nowMs);
    this.#rates?.recordCall(route, nowMs);
    const calls = this.#calls.get(route) ??
      { count: 0, total: 0, pairs: new Map<string, Pair>() };
    this.#calls.set(route, calls);
    calls.count += 1;
    for (const [name, { running }] of this.#parents) {
      if (name !== route && running > 0) {
        getPair(calls, name).observed += running;
      }
    }
  }

  /** Estimates the share of a route's calls that runs of any route made. */
  estimateShare(route: string): ShareEstimate {
    const calls = this.#calls.get(route);
    return calls === undefined
      ? UNKNOWN_SHARE
      : computeShareEstimate([...calls.pairs.values()], calls.total);
  }

  /** Estimates the share of a route's calls that runs of `parent` made. */
  estimateShareByParent(route: string, parent: string): ShareEstimate {
    const calls = this.#calls.get(route);
    const pair = calls?.pairs.get(parent);
    return pair === undefined
      ? UNKNOWN_SHARE
      : computeShareEstimate([pair], calls!.total);
  }

  /** Computes the ratio of a route's calls to the runs of `parent`. */
  countCallsPerRun(route: string, parent: string): number {
    const calls = this.#calls.get(route);
    const runs = this.#parents.get(parent)?.runs ?? 0;
    return ((calls?.total ?? 0) + (calls?.count ?? 0)) / Math.max(1, runs);
  }

  /** Estimates how many calls of `route` a run of each other route makes. */
  estimateCallsPerRun(route: string): ReadonlyMap<string, number> {
    return this.#rates?.estimateCallsPerRun(route) ?? new Map();
  }

  /** Lists the routes with active runs at calls of a route. */
  listParents(route: string): readonly string[] {
    return [...this.#calls.get(route)?.pairs.keys() ?? []];
  }

  /** Lists the routes with recorded calls. */
  listCalledRoutes(): readonly string[] {
    return [...this.#calls.keys()];
  }

  #advance(nowMs: number): void {
    const lengthMs = nowMs - this.#intervalStartMs;
    if (lengthMs < INTERVAL_MS) {
      return;
    }
    const decay = 0.5 ** (lengthMs / HALF_LIFE_MS);
    this.#parents.forEach((parent) => addRunTime(parent, nowMs));
    for (const [route, calls] of this.#calls) {
      this.#closeInterval(route, lengthMs, decay);
      if (calls.total < 1) {
        this.#calls.delete(route);
      }
    }
    for (const [route, parent] of this.#parents) {
      parent.runMs = 0;
      parent.runs *= decay;
      if (parent.running === 0 && !this.#hasPair(route)) {
        this.#parents.delete(route);
      }
    }
    this.#intervalStartMs = nowMs;
  }

  #closeInterval(route: string, lengthMs: number, decay: number): void {
    const calls = this.#calls.get(route)!;
    const { count, pairs } = calls;
    for (const [name, parent] of this.#parents) {
      const expected = count * parent.runMs / lengthMs;
      const isUnrelated = expected === 0 && !pairs.has(name);
      if (name === route || isUnrelated) {
        continue;
      }
      const pair = getPair(calls, name);
      pair.excess = pair.excess * decay + pair.observed - expected;
      pair.variance = pair.variance * decay + expected;
      pair.observed = 0;
    }
    calls.total = calls.total * decay + count;
    calls.count = 0;
  }

  #hasPair(parent: string): boolean {
    return [...this.#calls.values()].some(({ pairs }) => pairs.has(parent));
  }
}

function getPair(calls: Calls, parent: string): Pair {
  const pair = calls.pairs.get(parent) ??
    { observed: 0, excess: 0, variance: 0 };
  calls.pairs.set(parent, pair);
  return pair;
}

function addRunTime(parent: Parent, nowMs: number): void {
  parent.runMs += parent.running * (nowMs - parent.changedAtMs);
  parent.changedAtMs = nowMs;
}

/**
 * The number of runs that are active by chance has a Poisson distribution, so
 * its variance is its mean.
 */
function computeShareEstimate(
  pairs: readonly Pair[],
  total: number,
): ShareEstimate {
  if (total < 1) {
    return UNKNOWN_SHARE;
  }
  const excess = pairs.reduce((sum, pair) => sum + pair.excess, 0);
  const variance = pairs.reduce((sum, pair) => sum + pair.variance, 0);
  return { share: excess / total, error: Math.sqrt(variance + 1) / total };
}
