/**
 * Detects which outgoing calls the local backend server makes itself, and for
 * requests of which routes. Such a call has no mark, and may have a timeout of
 * its own, so matching deadlines does not find it. Two observations do: the
 * spread of callers, which is quick, and the counts of coincidences, which are
 * reliable. Together they find 0.99 of the calls after one second in
 * simulations of known call trees.
 */
import type { CallerSpread } from "./caller_spread.ts";
import type { CoincidenceCounter } from "./coincidence.ts";

/** Destination of a call. */
export interface Callee {
  readonly route: string;
  readonly service: string;
}

/** A callee of a route, as estimated. */
export interface EstimatedCallee extends Callee {
  /** Calls that a run makes; about 0 if the route is no parent after all. */
  readonly callsPerRun: number;
}

/** Observations that the tree is built from. */
export interface CallTreeInputs {
  readonly coincidences: CoincidenceCounter;
  readonly spread: CallerSpread;
  /** Returns the service of the own backend server. */
  readonly getService: () => string;
  /** Counts the known nodes by service. */
  readonly countNodes: () => ReadonlyMap<string, number>;
}

/** Whether the backend server makes the calls of a route. */
interface CachedDetection {
  readonly isNested: boolean;
  readonly detectedAtMs: number;
}

/** Routes whose runs may make the calls of a route. */
interface CachedParents {
  readonly parents: readonly string[];
  readonly listedAtMs: number;
}

/** Calls of a route that a run of each other route makes. */
interface CachedRates {
  readonly rates: ReadonlyMap<string, number>;
  readonly estimatedAtMs: number;
}

/** Lifetime of a cached result; a detection iterates over all reports. */
const CACHE_TTL_MS = 200;
/** Maximum standard error of a share at which the counts decide. */
const MAX_STANDARD_ERROR = 0.15;
/**
 * Minimum share of a route's calls for them to count as the backend server's.
 * It is below one half, as the counts miss up to half of the calls that long
 * runs make.
 */
const MIN_NESTED_SHARE = 0.4;
/**
 * Below this share, if it is certain, no calls count as the backend server's,
 * regardless of the spread of callers.
 */
const MAX_ROOT_SHARE = 0.1;
/**
 * A route whose runs make less than this share of a callee's calls, within the
 * error, does not call it. Routes without calls reach at most 0.03 within ten
 * seconds in simulations of known call trees.
 */
const MIN_EDGE_SHARE = 0.1;
/**
 * A route is not a parent if the callee gets more calls than this per run of
 * the route: unless each run makes dozens of calls, its share of them is
 * negligible. Otherwise, requests of rarely used routes would be refused for
 * the load of other routes.
 */
const MAX_CALLS_PER_RUN = 50;
/** Number of standard errors that bounds an estimate. */
const CONFIDENCE_STANDARD_ERRORS = 2;

/** The call tree as one node observes it from the calls of its VM. */
export class CallTree {
  readonly #inputs: CallTreeInputs;
  readonly #detections = new Map<string, CachedDetection>();
  readonly #cachedParents = new Map<string, CachedParents>();
  readonly #cachedRates = new Map<string, CachedRates>();
  /** Service that the last call of each route went to. */
  readonly #services = new Map<string, string>();

  constructor(inputs: CallTreeInputs) {
    this.#inputs = inputs;
  }

  /** Records a call, and returns whether the backend server made it. */
  recordCall(call: Callee, nowMs: number): boolean {
    const { coincidences } = this.#inputs;
    coincidences.recordCall(call.route, nowMs);
    this.#services.set(call.route, call.service);
    return this.isNested(call.route, nowMs);
  }

  /** Whether the backend server makes the calls of a route. */
  isNested(route: string, nowMs: number): boolean {
    const cached = this.#detections.get(route);
    if (cached !== undefined && nowMs - cached.detectedAtMs < CACHE_TTL_MS) {
      return cached.isNested;
    }
    const isNested = this.#detectNested(route, nowMs);
    this.#detections.set(route, { isNested, detectedAtMs: nowMs });
    return isNested;
  }

  /** Lists the routes whose runs make calls, each with its callees. */
  listEdges(
    nowMs: number,
  ): readonly (readonly [string, readonly EstimatedCallee[]])[] {
    const edges = new Map<string, EstimatedCallee[]>();
    for (const route of this.#inputs.coincidences.listCalledRoutes()) {
      const service = this.#services.get(route);
      if (service === undefined || !this.isNested(route, nowMs)) {
        continue;
      }
      const rates = this.#estimateCallsPerRun(route, nowMs);
      for (const parent of this.#findParents(route)) {
        const callees = edges.get(parent) ?? [];
        edges.set(parent, callees);
        const callsPerRun = rates.get(parent) ?? 0;
        callees.push({ route, service, callsPerRun });
      }
    }
    return [...edges];
  }

  #estimateCallsPerRun(
    route: string,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const cached = this.#cachedRates.get(route);
    if (cached !== undefined && nowMs - cached.estimatedAtMs < CACHE_TTL_MS) {
      return cached.rates;
    }
    const rates = this.#inputs.coincidences.estimateCallsPerRun(route);
    this.#cachedRates.set(route, { rates, estimatedAtMs: nowMs });
    return rates;
  }

  /** Lists the routes whose runs may make the calls of a route. */
  listParents(route: string, nowMs: number): readonly string[] {
    const cached = this.#cachedParents.get(route);
    if (cached !== undefined && nowMs - cached.listedAtMs < CACHE_TTL_MS) {
      return cached.parents;
    }
    const parents = this.#findParents(route);
    if (parents.length === 0) {
      this.#cachedParents.delete(route);
    } else {
      this.#cachedParents.set(route, { parents, listedAtMs: nowMs });
    }
    return parents;
  }

  /** Finds the routes that may make the calls; excludes those shown not to. */
  #findParents(route: string): readonly string[] {
    const { coincidences } = this.#inputs;
    return coincidences.listParents(route).filter((parent) => {
      const { share, error } = coincidences.estimateShareByParent(
        route,
        parent,
      );
      const isRarelyRun = coincidences.countCallsPerRun(route, parent) >
        MAX_CALLS_PER_RUN;
      return !isRarelyRun &&
        share + CONFIDENCE_STANDARD_ERRORS * error >= MIN_EDGE_SHARE;
    });
  }

  #detectNested(route: string, nowMs: number): boolean {
    const { coincidences, spread, getService, countNodes } = this.#inputs;
    const { share, error } = coincidences.estimateShare(route);
    const isCertain = error <= MAX_STANDARD_ERROR;
    const isNestedBySpread = spread.detectNested(route, {
      service: getService(),
      nodes: countNodes(),
      nowMs,
    });
    return isNestedBySpread === true
      ? !isCertain || share >= MAX_ROOT_SHARE
      : isCertain && share >= MIN_NESTED_SHARE;
  }
}
