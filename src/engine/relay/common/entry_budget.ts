/**
 * Limits the retries that this node sends, over sliding windows.
 *
 * A retry starts a run that makes its own calls again, and the nodes that send
 * these calls would count them as first attempts. Each call therefore carries
 * the probability that a repeated run made it. That part counts as a repeat and
 * doesn't enlarge any budget. Routes whose runs make calls get a small share of
 * the ratio each, so that repeats stay the same share of the calls downstream,
 * whatever the shape and depth of the call tree. The rest of the ratio is for
 * services that call no other service, where a retry costs least.
 */

/** Limits that the budgets of all nodes share. */
export interface RetryBudgetLimits {
  /** Repeats as a share of the first attempts. */
  readonly ratio: number;
  /** Repeats per window that all nodes together may send at any call rate. */
  readonly slack: number;
  /** Length of the sliding window, in seconds. */
  readonly windowS: number;
}

/** The properties of a call that its budget depends on. */
export interface BudgetedCall {
  readonly service: string;
  /** Name of the route. */
  readonly route: string;
  /** Whether a backend server made the call itself. */
  readonly isNested: boolean;
  /** Probability that a repeated run made the call, 0 to 1. */
  readonly repeatShare: number;
}

/** State of the fleet and of the route when a retry is requested. */
export interface RetryContext {
  /** Number of nodes that share the slack. */
  readonly nodes: number;
  /** Whether runs of the route make calls. */
  readonly hasDownstreamCalls: boolean;
}

/** Attempts that a node sent in one window; the field names are logged. */
export interface BudgetCounts {
  /** First attempts. */
  readonly firsts: number;
  /** Expected number of the first attempts that repeated runs made. */
  readonly inherited: number;
  readonly retries: number;
}

/** Counts of one second. */
interface Slice {
  readonly second: number;
  firsts: number;
  inherited: number;
  retries: number;
}

/** Counts of one route's calls to one service. */
interface RouteCounts {
  readonly slices: Slice[];
  /** Added to the allowance, 0 to 1: rounds a fraction of a retry at random. */
  rounding: number;
  /** When `rounding` was drawn; it is kept for one window. */
  roundedAtMs: number;
}

/** Share of the ratio for requests of callers whose runs make calls. */
const ROOT_RATIO_SHARE = 0.2;
/** The same for nested calls, including calls that repeated runs make. */
const NESTED_RATIO_SHARE = 0.5;
/** Share of the slack that is distributed to the nodes. */
const DISTRIBUTED_SLACK_SHARE = 0.5;
/** The slack is divided by at least this number of nodes. */
const MIN_NODES = 8;

/** Retry budget of an entry node, counted by service and route. */
export class EntryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #startedAtMs: number;
  readonly #draw: () => number;
  readonly #services = new Map<string, Map<string, RouteCounts>>();
  #sweptAtMs: number;

  /** `draw` returns a random number of at least 0 and less than 1. */
  constructor(
    limits: RetryBudgetLimits,
    options: { readonly startedAtMs: number; readonly draw: () => number },
  ) {
    this.#limits = limits;
    this.#startedAtMs = options.startedAtMs;
    this.#draw = options.draw;
    this.#sweptAtMs = options.startedAtMs;
  }

  /** Counts a first attempt. */
  recordFirstAttempt(call: BudgetedCall, nowMs: number): void {
    this.#removeIdleRoutes(nowMs);
    const slice = this.#getSlice(call, nowMs);
    slice.firsts += 1;
    slice.inherited += call.repeatShare;
  }

  /** Counts a retry. */
  recordRetry(call: BudgetedCall, nowMs: number): void {
    this.#getSlice(call, nowMs).retries += 1;
  }

  /** Whether the budget allows one more retry of the call. */
  canRetry(call: BudgetedCall, context: RetryContext, nowMs: number): boolean {
    return this.#isWithinServiceBudget(call.service, context.nodes, nowMs) &&
      (!context.hasDownstreamCalls || this.#isWithinRouteBudget(call, nowMs));
  }

  /** Counts the attempts sent to a service in the window that ends now. */
  countAttempts(service: string, nowMs: number): BudgetCounts {
    const routes = [...this.#services.get(service)?.values() ?? []];
    return this.#sum(routes, this.#findOldestSecond(nowMs));
  }

  /** Lists the services that calls were sent to. */
  listServices(): readonly string[] {
    return [...this.#services.keys()];
  }

  /**
   * Removes routes without calls in the window: route tables keep changing, and
   * counts of removed routes would accumulate.
   */
  #removeIdleRoutes(nowMs: number): void {
    if (nowMs - this.#sweptAtMs < this.#limits.windowS * 1_000) {
      return;
    }
    this.#sweptAtMs = nowMs;
    const oldest = this.#findOldestSecond(nowMs);
    for (const [service, routes] of this.#services) {
      for (const [name, { slices }] of routes) {
        if (slices.every(({ second }) => second < oldest)) {
          routes.delete(name);
        }
      }
      if (routes.size === 0) {
        this.#services.delete(service);
      }
    }
  }

  #isWithinServiceBudget(
    service: string,
    nodes: number,
    nowMs: number,
  ): boolean {
    const { ratio, slack, windowS } = this.#limits;
    // A previous process of this node may have used the slack of this window.
    const hasSlack = nowMs - this.#startedAtMs >= windowS * 1_000;
    const ownSlack = hasSlack
      ? slack * DISTRIBUTED_SLACK_SHARE / Math.max(MIN_NODES, nodes)
      : 0;
    const routes = [...this.#services.get(service)?.values() ?? []];
    return this.#isWithinBudget(
      routes,
      { share: ratio, extra: ownSlack },
      nowMs,
    );
  }

  /**
   * On nodes with few calls the allowance is less than one retry. It is rounded
   * at random, so that some of these nodes may send one, and the fleet as many
   * as the ratio allows.
   */
  #isWithinRouteBudget(call: BudgetedCall, nowMs: number): boolean {
    const route = this.#getRoute(call);
    const windowMs = this.#limits.windowS * 1_000;
    if (nowMs - route.roundedAtMs >= windowMs) {
      route.rounding = this.#draw();
      route.roundedAtMs = nowMs;
    }
    const ratioShare = call.isNested ? NESTED_RATIO_SHARE : ROOT_RATIO_SHARE;
    const share = this.#limits.ratio * ratioShare;
    return this.#isWithinBudget(
      [route],
      { share, extra: route.rounding },
      nowMs,
    );
  }

  /**
   * Whether one more retry fits into the whole window and into the current and
   * the previous second. If the whole allowance could be spent in a burst, none
   * would be left for repeats that arrive from upstream a moment later.
   */
  #isWithinBudget(
    routes: readonly RouteCounts[],
    { share, extra }: { readonly share: number; readonly extra: number },
    nowMs: number,
  ): boolean {
    const oldest = this.#findOldestSecond(nowMs);
    const spent = this.#sum(routes, oldest);
    // Repeats may be a second older than the first attempts that allow them.
    const earned = this.#sum(routes, oldest + 1);
    const latest = this.#sum(routes, Math.floor(nowMs / 1_000) - 1);
    const computeAllowance = (counts: BudgetCounts) =>
      countOriginals(counts) * share + extra;
    return countRepeats(spent) + 1 <= computeAllowance(earned) &&
      countRepeats(latest) + 1 <= Math.max(1, computeAllowance(latest));
  }

  #sum(routes: readonly RouteCounts[], oldestSecond: number): BudgetCounts {
    const sum = { firsts: 0, inherited: 0, retries: 0 };
    for (const { slices } of routes) {
      for (const slice of slices) {
        if (slice.second >= oldestSecond) {
          sum.firsts += slice.firsts;
          sum.inherited += slice.inherited;
          sum.retries += slice.retries;
        }
      }
    }
    return sum;
  }

  /** Finds the second in which the window begins. */
  #findOldestSecond(nowMs: number): number {
    return Math.floor(nowMs / 1_000) - this.#limits.windowS;
  }

  /** Gets the counts of a call's route, and creates them if there are none. */
  #getRoute({ service, route }: BudgetedCall): RouteCounts {
    const routes = this.#services.get(service) ??
      new Map<string, RouteCounts>();
    this.#services.set(service, routes);
    const counts = routes.get(route) ??
      { slices: [], rounding: 0, roundedAtMs: -Infinity };
    routes.set(route, counts);
    return counts;
  }

  /**
   * Gets the slice of the current second, and drops those out of the window.
   */
  #getSlice(call: BudgetedCall, nowMs: number): Slice {
    const { slices } = this.#getRoute(call);
    const oldest = this.#findOldestSecond(nowMs);
    while (slices.length > 0 && slices[0]!.second < oldest) {
      slices.shift();
    }
    const second = Math.floor(nowMs / 1_000);
    const last = slices.at(-1);
    if (last?.second === second) {
      return last;
    }
    const slice = { second, firsts: 0, inherited: 0, retries: 0 };
    slices.push(slice);
    return slice;
  }
}

/** Counts all repeats: retries, and calls that repeated runs made. */
function countRepeats({ retries, inherited }: BudgetCounts): number {
  return retries + inherited;
}

/** Counts the first attempts that no repeated run made. */
function countOriginals({ firsts, inherited }: BudgetCounts): number {
  return firsts - inherited;
}
