/**
 * Retries that this node may send, by sliding windows.
 *
 * The run that a retry starts makes its calls again, and the nodes that send
 * these take them for first attempts. So a call carries how likely it is that a
 * repeated run made it; it counts as a repeat then, and widens no budget. Calls
 * that make calls get a small share of the ratio, route by route: repeats are
 * the same share of the calls below, whatever the shape and depth of the tree.
 * What is left is for the services at the bottom, where a retry costs least.
 */

/** The budget that the nodes of a fleet share. */
export interface RetryBudgetLimits {
  /** Repeats as a share of the first attempts. */
  readonly ratio: number;
  /** Repeats that all nodes together have in any case. */
  readonly slack: number;
  readonly windowS: number;
}

/** What is counted of a call. */
export interface BudgetedCall {
  readonly service: string;
  readonly route: string;
  /** Whether a backend server's own call. */
  readonly isNested: boolean;
  /** How likely it is that a repeated run made it, 0 to 1. */
  readonly repeatShare: number;
}

/** What is known where a retry is asked for. */
export interface RetryContext {
  /** Nodes that share the slack. */
  readonly nodes: number;
  /** Whether runs of the route make calls. */
  readonly hasDownstreamCalls: boolean;
}

/** What a node sent in one window. */
export interface BudgetCounts {
  /** First attempts. */
  readonly firsts: number;
  /** Part of the first attempts that repeated runs made. */
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

/** One route's calls to one service. */
interface RouteCounts {
  readonly slices: Slice[];
  /** Rounds a share of less than one retry, up or down, for one window. */
  rounding: number;
  roundedAtMs: number;
}

/** Share of the ratio for callers' own requests that make calls. */
const ROOT_SHARE = 0.2;
/** The same for calls in the middle, with those that repeated runs make. */
const NESTED_SHARE = 0.5;
/** Part of the slack that is dealt out. */
const SLACK_SHARE = 0.5;
/** The slack is shared out over at least so many nodes. */
const MIN_NODES = 8;

/** Counts by service and route. */
export class EntryBudget {
  readonly #terms: RetryBudgetLimits;
  readonly #startedAtMs: number;
  readonly #draw: () => number;
  readonly #services = new Map<string, Map<string, RouteCounts>>();
  #sweptAtMs: number;

  /** `draw` gives a number from 0 to 1, 1 left out. */
  constructor(
    terms: RetryBudgetLimits,
    options: { readonly startedAtMs: number; readonly draw: () => number },
  ) {
    this.#terms = terms;
    this.#startedAtMs = options.startedAtMs;
    this.#draw = options.draw;
    this.#sweptAtMs = options.startedAtMs;
  }

  /** Counts a first attempt. */
  recordFirstAttempt(call: BudgetedCall, nowMs: number): void {
    this.#forgetIdle(nowMs);
    const slice = this.#getSlice(call, nowMs);
    slice.firsts += 1;
    slice.inherited += call.repeatShare;
  }

  /** Counts a retry. */
  recordRetry(call: BudgetedCall, nowMs: number): void {
    this.#getSlice(call, nowMs).retries += 1;
  }

  /** Whether one more retry fits. */
  canRetry(call: BudgetedCall, context: RetryContext, nowMs: number): boolean {
    return this.#hasServiceRoom(call.service, context.nodes, nowMs) &&
      (!context.hasDownstreamCalls || this.#hasRouteRoom(call, nowMs));
  }

  /** Counts what was sent to a service in the window that ends now. */
  countAttempts(service: string, nowMs: number): BudgetCounts {
    const routes = [...this.#services.get(service)?.values() ?? []];
    return this.#sum(routes, this.#findOldestSecond(nowMs));
  }

  /** Lists the services that calls were sent to. */
  listServices(): readonly string[] {
    return [...this.#services.keys()];
  }

  /** Forgets routes without calls in the window: tables change all day. */
  #forgetIdle(nowMs: number): void {
    if (nowMs - this.#sweptAtMs < this.#terms.windowS * 1_000) {
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

  #hasServiceRoom(service: string, nodes: number, nowMs: number): boolean {
    const { ratio, slack, windowS } = this.#terms;
    // What a former process at this place spent of the slack isn't known.
    const hasSlack = nowMs - this.#startedAtMs >= windowS * 1_000;
    const ownSlack = hasSlack
      ? slack * SLACK_SHARE / Math.max(MIN_NODES, nodes)
      : 0;
    const routes = [...this.#services.get(service)?.values() ?? []];
    return this.#hasRoom(routes, { share: ratio, extra: ownSlack }, nowMs);
  }

  /**
   * On a node with few calls the share is less than one retry: part of these
   * nodes has one, and the fleet as many as it may.
   */
  #hasRouteRoom(call: BudgetedCall, nowMs: number): boolean {
    const route = this.#getRoute(call);
    const windowMs = this.#terms.windowS * 1_000;
    if (nowMs - route.roundedAtMs >= windowMs) {
      route.rounding = this.#draw();
      route.roundedAtMs = nowMs;
    }
    const part = call.isNested ? NESTED_SHARE : ROOT_SHARE;
    const share = this.#terms.ratio * part;
    return this.#hasRoom([route], { share, extra: route.rounding }, nowMs);
  }

  /**
   * Whether one more retry fits into the whole window and into its last
   * seconds: a share that is spent at once leaves no room for the repeats that
   * come from above a moment later.
   */
  #hasRoom(
    routes: readonly RouteCounts[],
    { share, extra }: { readonly share: number; readonly extra: number },
    nowMs: number,
  ): boolean {
    const oldest = this.#findOldestSecond(nowMs);
    const spent = this.#sum(routes, oldest);
    // Repeats may be a second older than the originals that allow them.
    const earned = this.#sum(routes, oldest + 1);
    const latest = this.#sum(routes, Math.floor(nowMs / 1_000) - 1);
    const computeMost = (counts: BudgetCounts) =>
      countOriginals(counts) * share + extra;
    return countRepeats(spent) + 1 <= computeMost(earned) &&
      countRepeats(latest) + 1 <= Math.max(1, computeMost(latest));
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

  /** The second in which the window begins. */
  #findOldestSecond(nowMs: number): number {
    return Math.floor(nowMs / 1_000) - this.#terms.windowS;
  }

  #getRoute({ service, route }: BudgetedCall): RouteCounts {
    const routes = this.#services.get(service) ??
      new Map<string, RouteCounts>();
    this.#services.set(service, routes);
    const counts = routes.get(route) ??
      { slices: [], rounding: 0, roundedAtMs: -Infinity };
    routes.set(route, counts);
    return counts;
  }

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

function countRepeats({ retries, inherited }: BudgetCounts): number {
  return retries + inherited;
}

function countOriginals({ firsts, inherited }: BudgetCounts): number {
  return firsts - inherited;
}
