/**
 * Which calls the local backend server makes itself, and for the requests of
 * which routes. Nothing marks such a call, and it may have a time limit of its
 * own, so a match of deadlines finds none of them; two observations tell it,
 * the spread of callers at once and counts of coincidences for certain: 0.99 of
 * the calls after a second of play of known trees.
 */
import type { CallerSpread } from "./caller_spread.ts";
import type { CoincidenceCounter } from "./coincidence.ts";

/** A callee of a route that the backend server runs. */
export interface Callee {
  readonly route: string;
  readonly service: string;
}

/** What the tree is judged by. */
export interface CallTreeInputs {
  readonly coincidences: CoincidenceCounter;
  readonly spread: CallerSpread;
  /** Service of the own backend server. */
  readonly getService: () => string;
  readonly countNodes: () => ReadonlyMap<string, number>;
}

interface CachedDetection {
  readonly isNested: boolean;
  readonly detectedAtMs: number;
}

interface CachedParents {
  readonly parents: readonly string[];
  readonly listedAtMs: number;
}

/** A judgement holds for so long: it costs a pass over all reports. */
const CACHE_TTL_MS = 200;
/** Counts with a smaller standard error are certain enough to decide. */
const MAX_STANDARD_ERROR = 0.15;
/**
 * From this share on, a route's calls are the backend server's: the counts
 * leave out what long runs explain, up to half.
 */
const MIN_NESTED_SHARE = 0.4;
/** Below it none are, whatever the spread says. */
const MAX_ROOT_SHARE = 0.1;
/**
 * A route whose runs explain less of a callee's calls, for certain, does not
 * call it. Routes that call nobody came to 0.03 at most within ten seconds of
 * play of known trees.
 */
const MIN_EDGE_SHARE = 0.1;
/**
 * A route with fewer runs makes no share of the calls that matters, unless it
 * makes dozens each; routes that are asked for now and then would be refused
 * for the load of others.
 */
const MAX_CALLS_PER_RUN = 50;
/** Standard errors that make an estimate certain. */
const CONFIDENCE_STANDARD_ERRORS = 2;

/** What one node knows of the calls that begin on its VM. */
export class CallTree {
  readonly #inputs: CallTreeInputs;
  readonly #detections = new Map<string, CachedDetection>();
  readonly #cachedParents = new Map<string, CachedParents>();
  /** Service that a route's calls went to last. */
  readonly #services = new Map<string, string>();

  constructor(inputs: CallTreeInputs) {
    this.#inputs = inputs;
  }

  /** Notes a call, and tells whether the backend server made it. */
  recordCall(call: Callee, nowMs: number): boolean {
    const { coincidences } = this.#inputs;
    coincidences.recordCall(call.route, nowMs);
    this.#services.set(call.route, call.service);
    return this.isNested(call.route, nowMs);
  }

  /** Whether the calls of a route are made by the backend server. */
  isNested(route: string, nowMs: number): boolean {
    const before = this.#detections.get(route);
    if (before !== undefined && nowMs - before.detectedAtMs < CACHE_TTL_MS) {
      return before.isNested;
    }
    const isNested = this.#detectNested(route, nowMs);
    this.#detections.set(route, { isNested, detectedAtMs: nowMs });
    return isNested;
  }

  /** Lists the routes whose requests make calls, and what they call. */
  listEdges(nowMs: number): readonly (readonly [string, readonly Callee[]])[] {
    const edges = new Map<string, Callee[]>();
    for (const route of this.#inputs.coincidences.listCalledRoutes()) {
      const service = this.#services.get(route);
      if (service === undefined || !this.isNested(route, nowMs)) {
        continue;
      }
      for (const parent of this.#findParents(route)) {
        const callees = edges.get(parent) ?? [];
        edges.set(parent, callees);
        callees.push({ route, service });
      }
    }
    return [...edges];
  }

  /** Lists the routes whose runs may make the calls of a route. */
  listParents(route: string, nowMs: number): readonly string[] {
    const before = this.#cachedParents.get(route);
    if (before !== undefined && nowMs - before.listedAtMs < CACHE_TTL_MS) {
      return before.parents;
    }
    const parents = this.#findParents(route);
    if (parents.length === 0) {
      this.#cachedParents.delete(route);
    } else {
      this.#cachedParents.set(route, { parents, listedAtMs: nowMs });
    }
    return parents;
  }

  /** A route that runs beside calls counts until it is shown to make none. */
  #findParents(route: string): readonly string[] {
    const { coincidences } = this.#inputs;
    return coincidences.listParents(route).filter((parent) => {
      const { share, error } = coincidences.estimateShareByParent(
        route,
        parent,
      );
      const isRare = coincidences.countCallsPerRun(route, parent) >
        MAX_CALLS_PER_RUN;
      return !isRare &&
        share + CONFIDENCE_STANDARD_ERRORS * error >= MIN_EDGE_SHARE;
    });
  }

  #detectNested(route: string, nowMs: number): boolean {
    const { coincidences, spread, getService, countNodes } = this.#inputs;
    const { share, error } = coincidences.estimateShare(route);
    const isCertain = error <= MAX_STANDARD_ERROR;
    const bySpread = spread.detectNested(route, {
      service: getService(),
      nodes: countNodes(),
      nowMs,
    });
    return bySpread === true
      ? !isCertain || share >= MAX_ROOT_SHARE
      : isCertain && share >= MIN_NESTED_SHARE;
  }
}
