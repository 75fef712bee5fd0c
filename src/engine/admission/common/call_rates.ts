/**
 * Estimates how many calls of a route a run of each other route makes, from the
 * runs and calls of one node.
 *
 * Calls are made by runs only, so the calls in an interval are the sum over the
 * routes of the active runs times a rate of each route. The rates are the
 * non-negative least squares solution over many short intervals. Unlike the
 * count of coincidences of one route, this attributes a call to the runs that
 * explain it best: the number of long runs rises and falls with all load, and
 * would seem to make the calls of others.
 *
 * Load pattern: load that doubles within seconds, or follows a wave.
 */

/** Runs of one route. */
interface Parent {
  /** Active runs. */
  running: number;
  /** When `intervalMs` was last updated. */
  changedAtMs: number;
  /** Sum of the run times in this interval, in milliseconds. */
  intervalMs: number;
  /** The same over all intervals, with exponential decay. */
  totalMs: number;
  /** Runs that began, with exponential decay. */
  runs: number;
  /** Sum over the intervals of the products with other routes' run times. */
  readonly products: Map<string, number>;
}

/** Calls of one route. */
interface Calls {
  /** Number in this interval. */
  count: number;
  /** Sum over the intervals of the products with the routes' run times. */
  readonly products: Map<string, number>;
  /** Number over all intervals, with exponential decay. */
  total: number;
}

/** Length of an interval; runs of the last levels take about as long. */
const INTERVAL_MS = 100;
/** Half-life of earlier intervals, as routes move to other services. */
const HALF_LIFE_MS = 10_000;
/** Bounds the state, which grows with the square of the routes that run. */
const MAX_ROUTES = 64;
/**
 * Standard deviations by which a product has to exceed what the others explain:
 * the number of calls in an interval has a Poisson distribution.
 */
const NOISE_DEVIATIONS = 2;
/** A route with fewer runs, with decay, is forgotten. */
const MIN_RUNS = 0.05;
/** Rounds of coordinate descent; a few routes settle within ten. */
const MAX_ROUNDS = 40;

/** Observes the runs and calls of one node. */
export class CallRates {
  readonly #parents = new Map<string, Parent>();
  readonly #calls = new Map<string, Calls>();
  #intervalStartMs = 0;
  /** Number of intervals, with exponential decay. */
  #intervals = 0;

  /** Records that a run began (1) or ended (-1) at the own backend server. */
  recordRun(route: string, change: 1 | -1, nowMs: number): void {
    this.#advance(nowMs);
    const parent = this.#parents.get(route) ?? createParent(nowMs);
    if (!this.#parents.has(route) && this.#parents.size >= MAX_ROUTES) {
      return;
    }
    this.#parents.set(route, parent);
    addRunTime(parent, nowMs);
    parent.running = Math.max(0, parent.running + change);
    parent.runs += Math.max(0, change);
  }

  /** Records a call of a route from this VM. */
  recordCall(route: string, nowMs: number): void {
    this.#advance(nowMs);
    const calls = this.#calls.get(route) ??
      { count: 0, products: new Map(), total: 0 };
    if (!this.#calls.has(route) && this.#calls.size >= MAX_ROUTES) {
      return;
    }
    this.#calls.set(route, calls);
    calls.count += 1;
  }

  /** Estimates how many calls of `route` a run of each other route makes. */
  estimateCallsPerRun(route: string): ReadonlyMap<string, number> {
    const calls = this.#calls.get(route);
    const parents = [...this.#parents]
      .filter(([name, { totalMs }]) => name !== route && totalMs > 0);
    if (calls === undefined || parents.length === 0) {
      return new Map();
    }
    const targets = parents.map(([name]) => calls.products.get(name) ?? 0);
    const products = parents.map(([, parent]) =>
      parents.map(([name]) => parent.products.get(name) ?? 0)
    );
    const meanCount = calls.total / Math.max(1, this.#intervals);
    const noise = products.map((row, index) =>
      NOISE_DEVIATIONS * Math.sqrt(row[index]! * meanCount)
    );
    const rates = computeNonNegativeFit(
      products,
      targets.map((target, index) => target - noise[index]!),
    );
    return new Map(
      parents.map(([name, { totalMs, runs }], index) =>
        [name, rates[index]! * totalMs / Math.max(1, runs)] as const
      ),
    );
  }

  #advance(nowMs: number): void {
    const lengthMs = nowMs - this.#intervalStartMs;
    if (lengthMs < INTERVAL_MS) {
      return;
    }
    this.#intervalStartMs = nowMs;
    const decay = 0.5 ** (lengthMs / HALF_LIFE_MS);
    this.#parents.forEach((parent) => addRunTime(parent, nowMs));
    for (const parent of this.#parents.values()) {
      this.#addProducts(parent.products, parent.intervalMs, decay);
      parent.totalMs = parent.totalMs * decay + parent.intervalMs;
      parent.runs *= decay;
    }
    for (const calls of this.#calls.values()) {
      this.#addProducts(calls.products, calls.count, decay);
      calls.total = calls.total * decay + calls.count;
      calls.count = 0;
    }
    this.#intervals = this.#intervals * decay + 1;
    for (const [route, parent] of this.#parents) {
      parent.intervalMs = 0;
      if (parent.running === 0 && parent.runs < MIN_RUNS) {
        this.#removeParent(route);
      }
    }
  }

  #addProducts(
    products: Map<string, number>,
    factor: number,
    decay: number,
  ): void {
    for (const [name, { intervalMs }] of this.#parents) {
      const product = (products.get(name) ?? 0) * decay + factor * intervalMs;
      products.set(name, product);
    }
  }

  #removeParent(route: string): void {
    this.#parents.delete(route);
    this.#parents.forEach(({ products }) => products.delete(route));
    this.#calls.forEach(({ products }) => products.delete(route));
  }
}

function createParent(nowMs: number): Parent {
  return {
    running: 0,
    changedAtMs: nowMs,
    intervalMs: 0,
    totalMs: 0,
    runs: 0,
    products: new Map(),
  };
}

function addRunTime(parent: Parent, nowMs: number): void {
  parent.intervalMs += parent.running * (nowMs - parent.changedAtMs);
  parent.changedAtMs = nowMs;
}

/**
 * Solves the normal equations of a least squares problem for non-negative
 * values, by coordinate descent.
 */
function computeNonNegativeFit(
  products: readonly (readonly number[])[],
  targets: readonly number[],
): readonly number[] {
  const values = targets.map(() => 0);
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    for (const [index, row] of products.entries()) {
      const own = row[index]!;
      const others = row.reduce(
        (sum, product, other) =>
          other === index ? sum : sum + product * values[other]!,
        0,
      );
      values[index] = own === 0
        ? 0
        : Math.max(0, (targets[index]! - others) / own);
    }
  }
  return values;
}
