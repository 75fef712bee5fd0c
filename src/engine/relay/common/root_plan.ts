/**
 * Divides the capacity of a bottleneck service among the root requests of one
 * entry node: by rank, then by what a root request costs there.
 *
 * Load pattern: more demand than capacity at one service for seconds or all
 * day, from several kinds of requests that cost it different slot times. Those
 * that cost it little are admitted first among equal ranks, so that more callers
 * are served, and a route that calls it only by an error of the estimated call
 * tree is hardly refused.
 */

/** Demand of one kind of root requests for a service. */
export interface RootDemand {
  /** Of the workspace and the route together; 0 is the most urgent. */
  readonly rank: number;
  /** Of the route alone. */
  readonly routeRank: number;
  /** Slot time that a root request costs the service, in milliseconds. */
  readonly costMs: number;
  /** Slot time that all of them ask for, in any unit. */
  readonly offered: number;
}

/**
 * Least share of the routes below the most urgent rank, relative to the share
 * over all: they give way to it, but they aren't starved.
 */
const MIN_RELATIVE_SHARE = 0.4;
/**
 * Least share of a kind of mean cost, relative to the share over the routes of
 * its tier: below the most urgent rank, a more urgent one gets more, not all.
 */
const MIN_RELATIVE_TIER_SHARE = 0.8;
/**
 * A root request that costs less counts as not leading to the service: the
 * estimated costs of such routes are errors of the call tree.
 */
const MIN_COST_MS = 1;

/**
 * Computes the share of each kind to admit, in the order given, so that they
 * use `ratio` of the offered slot time together. The routes of the most urgent
 * rank come first, the others divide what is left.
 */
export function planRootShares(
  demands: readonly RootDemand[],
  ratio: number,
): readonly number[] {
  if (ratio >= 1) {
    return demands.map(() => 1);
  }
  const firstRank = Math.min(...demands.map(({ routeRank }) => routeRank));
  const urgent = demands.filter(({ routeRank }) => routeRank === firstRank);
  const others = demands.filter(({ routeRank }) => routeRank !== firstRank);
  const urgentMs = computeTotalMs(urgent);
  const othersMs = computeTotalMs(others);
  const budgetMs = ratio * (urgentMs + othersMs);
  const reservedMs = MIN_RELATIVE_SHARE * ratio * othersMs;
  const urgentBudgetMs = Math.min(urgentMs, budgetMs - reservedMs);
  const shares = new Map([
    ...planTier(urgent, urgentBudgetMs),
    ...planTier(others, budgetMs - urgentBudgetMs),
  ]);
  return demands.map((demand) => shares.get(demand)!);
}

/** Divides the slot time of one tier by rank, then by cost. */
function planTier(
  demands: readonly RootDemand[],
  budgetMs: number,
): ReadonlyMap<RootDemand, number> {
  const shares = computeMinShares(demands, budgetMs);
  let remainingMs = budgetMs - computeAdmittedMs(shares);
  const order = [...demands]
    .sort((a, b) => a.rank - b.rank || a.costMs - b.costMs);
  for (const demand of order) {
    const { offered } = demand;
    const share = shares.get(demand)!;
    const grantedMs = Math.min(remainingMs, (1 - share) * offered);
    shares.set(demand, offered === 0 ? 1 : share + grantedMs / offered);
    remainingMs -= grantedMs;
  }
  return shares;
}

/**
 * Computes the least share of each kind. It grows with the inverse root of the
 * cost: halfway between equal shares of the requests, which would give most of
 * the slot time to the costly kinds, and equal slot time for each request. It is
 * never above that of a more urgent route of the same workspaces.
 */
function computeMinShares(
  demands: readonly RootDemand[],
  budgetMs: number,
): Map<RootDemand, number> {
  const totalMs = Math.max(Number.MIN_VALUE, computeTotalMs(demands));
  const meanCostMs = demands.reduce(
    (sum, { costMs, offered }) => sum + costMs * offered,
    0,
  ) / totalMs;
  const factors = demands.map(({ costMs }) => Math.sqrt(meanCostMs / costMs));
  const minShare = budgetMs / totalMs * MIN_RELATIVE_TIER_SHARE;
  const shares = new Map(demands.map((demand, index) => {
    const bounds = factors.filter((_, other) =>
      other === index || isMoreUrgent(demands[other]!, demand)
    );
    return [demand, Math.min(1, minShare * Math.min(...bounds))] as const;
  }));
  const scale = Math.min(
    1,
    budgetMs / Math.max(Number.MIN_VALUE, computeAdmittedMs(shares)),
  );
  shares.forEach((share, demand) => shares.set(demand, share * scale));
  return shares;
}

/** Whether `a` has the more urgent route, in workspaces of the same rank. */
function isMoreUrgent(a: RootDemand, b: RootDemand): boolean {
  return a.routeRank < b.routeRank &&
    a.rank - a.routeRank === b.rank - b.routeRank;
}

function computeAdmittedMs(shares: ReadonlyMap<RootDemand, number>): number {
  return [...shares]
    .reduce((sum, [{ offered }, share]) => sum + offered * share, 0);
}

function computeTotalMs(demands: readonly RootDemand[]): number {
  return demands.reduce((sum, { offered }) => sum + offered, 0);
}

/** Root requests of one kind for one service, with exponential decay. */
interface Kind {
  readonly rank: number;
  readonly routeRank: number;
  costMs: number;
  offered: number;
  updatedAtMs: number;
}

/** Half-life of a root request in the demand. */
const HALF_LIFE_MS = 1_000;
/** A kind with less demand, in milliseconds of slot time, is forgotten. */
const MIN_OFFERED_MS = MIN_COST_MS / 100;
/** Bounds the state where there are many routes and workspaces. */
const MAX_KINDS = 512;

/** The recent demand of one entry node's root requests, by bottleneck service. */
export class RootPlan {
  readonly #services = new Map<string, Map<string, Kind>>();

  /**
   * Records a root request for a bottleneck service, and computes the share of
   * its kind to admit, 0 to 1.
   */
  computeShare(
    request: {
      readonly service: string;
      readonly route: string;
      readonly rank: number;
      readonly routeRank: number;
      readonly costMs: number;
      readonly ratio: number;
    },
    nowMs: number,
  ): number {
    const { service, route, rank, routeRank, costMs, ratio } = request;
    if (costMs < MIN_COST_MS) {
      return 1;
    }
    const kinds = this.#services.get(service) ?? new Map<string, Kind>();
    this.#services.set(service, kinds);
    const key = `${rank} ${route}`;
    const kind = kinds.get(key) ??
      { rank, routeRank, costMs, offered: 0, updatedAtMs: nowMs };
    kinds.delete(key);
    kinds.set(key, kind);
    kind.offered = computeOffered(kind, nowMs) + costMs;
    kind.costMs = costMs;
    kind.updatedAtMs = nowMs;
    if (ratio >= 1) {
      return 1;
    }
    prune(kinds, nowMs);
    const keys = [...kinds.keys()];
    const demands = [...kinds.values()].map((one) => ({
      rank: one.rank,
      routeRank: one.routeRank,
      costMs: one.costMs,
      offered: computeOffered(one, nowMs),
    }));
    return planRootShares(demands, ratio)[keys.indexOf(key)]!;
  }
}

function computeOffered(kind: Kind, nowMs: number): number {
  return kind.offered * 0.5 ** ((nowMs - kind.updatedAtMs) / HALF_LIFE_MS);
}

/** Forgets the kinds without recent requests, and the oldest beyond a bound. */
function prune(kinds: Map<string, Kind>, nowMs: number): void {
  for (const [key, kind] of kinds) {
    if (
      kinds.size > MAX_KINDS || computeOffered(kind, nowMs) < MIN_OFFERED_MS
    ) {
      kinds.delete(key);
    }
  }
}
