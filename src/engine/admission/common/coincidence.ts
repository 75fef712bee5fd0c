/**
 * How many of a node's outgoing calls are explained by what its backend server
 * runs. A call that a run makes finds that run under way, beside those that
 * run by chance; a caller's own request finds only the latter. What calls find
 * running above the mean is therefore the number of calls that runs made.
 *
 * Load pattern: it tells the calls of a busy backend server, where something
 * always runs and each single coincidence says nothing.
 */

/** How much of a route's calls another route's runs explain. */
export interface ShareEstimate {
  /** 0 where they have nothing to do with each other, 1 where all are made. */
  readonly share: number;
  /** Standard error of the share. */
  readonly error: number;
}

interface Parent {
  running: number;
  changedAtMs: number;
  /** Runs by milliseconds in this interval. */
  runMs: number;
  /** Runs that began; older ones count less. */
  runs: number;
}

interface Pair {
  /** Runs that calls found in this interval. */
  observed: number;
  /** Runs found beyond the mean, over the intervals before. */
  excess: number;
  variance: number;
}

interface Calls {
  /** In this interval. */
  count: number;
  /** Over the intervals before; older ones count less. */
  total: number;
  readonly pairs: Map<string, Pair>;
}

/**
 * Means are taken over so long. A run that lasts as long as the interval is in
 * its mean at all calls, and explains none; of runs of 250 ms a quarter of the
 * calls is lost. In longer intervals changes of load look like coincidences.
 */
const INTERVAL_MS = 1_000;
/** After so long an interval counts half: routes move to other services. */
const HALF_LIFE_MS = 10_000;
const UNKNOWN_SHARE: ShareEstimate = { share: 0, error: Infinity };

/** Counts at one node. Routes that were never seen have no entry. */
export class CoincidenceCounter {
  readonly #parents = new Map<string, Parent>();
  readonly #calls = new Map<string, Calls>();
  #startedAtMs = 0;

  /** A run of a route begins (1) or ends (-1) at the own backend server. */
  recordRun(route: string, change: 1 | -1, nowMs: number): void {
    this.#advance(nowMs);
    const parent = this.#parents.get(route) ??
      { running: 0, changedAtMs: nowMs, runMs: 0, runs: 0 };
    this.#parents.set(route, parent);
    addRunTime(parent, nowMs);
    parent.running = Math.max(0, parent.running + change);
    parent.runs += Math.max(0, change);
  }

  /** A call of a route came from this VM. */
  recordCall(route: string, nowMs: number): void {
    this.#advance(nowMs);
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

  /** Estimates how much all runs together explain of a route's calls. */
  estimateShare(route: string): ShareEstimate {
    const calls = this.#calls.get(route);
    return calls === undefined
      ? UNKNOWN_SHARE
      : computeShareEstimate([...calls.pairs.values()], calls.total);
  }

  /** Estimates how much the runs of one route explain. */
  estimateShareByParent(route: string, parent: string): ShareEstimate {
    const calls = this.#calls.get(route);
    const pair = calls?.pairs.get(parent);
    return pair === undefined
      ? UNKNOWN_SHARE
      : computeShareEstimate([pair], calls!.total);
  }

  /** Counts the calls of a route for each run of another one. */
  countCallsPerRun(route: string, parent: string): number {
    const calls = this.#calls.get(route);
    const runs = this.#parents.get(parent)?.runs ?? 0;
    return ((calls?.total ?? 0) + (calls?.count ?? 0)) / Math.max(1, runs);
  }

  /** Lists the routes that ran while calls of a route came. */
  listParents(route: string): readonly string[] {
    return [...this.#calls.get(route)?.pairs.keys() ?? []];
  }

  /** Lists the routes that were called. */
  listCalledRoutes(): readonly string[] {
    return [...this.#calls.keys()];
  }

  #advance(nowMs: number): void {
    const lengthMs = nowMs - this.#startedAtMs;
    if (lengthMs < INTERVAL_MS) {
      return;
    }
    const kept = 0.5 ** (lengthMs / HALF_LIFE_MS);
    this.#parents.forEach((parent) => addRunTime(parent, nowMs));
    for (const [route, calls] of this.#calls) {
      this.#closeInterval(route, lengthMs, kept);
      if (calls.total < 1) {
        this.#calls.delete(route);
      }
    }
    for (const [route, parent] of this.#parents) {
      parent.runMs = 0;
      parent.runs *= kept;
      if (parent.running === 0 && !this.#hasPair(route)) {
        this.#parents.delete(route);
      }
    }
    this.#startedAtMs = nowMs;
  }

  #closeInterval(route: string, lengthMs: number, kept: number): void {
    const calls = this.#calls.get(route)!;
    const { count, pairs } = calls;
    for (const [name, parent] of this.#parents) {
      const expected = count * parent.runMs / lengthMs;
      const isUnseen = expected === 0 && !pairs.has(name);
      if (name === route || isUnseen) {
        continue;
      }
      const pair = getPair(calls, name);
      pair.excess = pair.excess * kept + pair.observed - expected;
      pair.variance = pair.variance * kept + expected;
      pair.observed = 0;
    }
    calls.total = calls.total * kept + count;
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

/** Runs that chance puts beside calls are Poisson distributed. */
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
