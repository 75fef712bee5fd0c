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

interface Judged {
  readonly isNested: boolean;
  readonly judgedAtMs: number;
}

interface ListedParents {
  readonly parents: readonly string[];
  readonly listedAtMs: number;
}

/** A judgement holds for so long: it costs a pass over all reports. */
const HOLD_MS = 200;
/** Counts with a smaller standard error are certain enough to decide. */
const CERTAIN_ERROR = 0.15;
/**
 * From this share on, a route's calls are the backend server's: the counts
 * leave out what long runs explain, up to half.
 */
const NESTED_SHARE = 0.4;
/** Below it none are, whatever the spread says. */
const ROOT_SHARE = 0.1;
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
const CERTAIN_ERRORS = 2;

/** What one node knows of the calls that begin on its VM. */
export class CallTree {
  readonly #inputs: CallTreeInputs;
  readonly #judged = new Map<string, Judged>();
  readonly #parents = new Map<string, ListedParents>();
  /** Service that a route's calls went to last. */
  readonly #services = new Map<string, string>();

  constructor(inputs: CallTreeInputs) {
    this.#inputs = inputs;
  }

  /** Notes a call, and tells whether the backend server made it. */
  observe(call: Callee, nowMs: number): boolean {
    const { coincidences } = this.#inputs;
    coincidences.noteCall(call.route, nowMs);
    this.#services.set(call.route, call.service);
    return this.isNested(call.route, nowMs);
  }

  /** Whether the calls of a route are made by the backend server. */
  isNested(route: string, nowMs: number): boolean {
    const before = this.#judged.get(route);
    if (before !== undefined && nowMs - before.judgedAtMs < HOLD_MS) {
      return before.isNested;
    }
    const isNested = this.#judge(route, nowMs);
    this.#judged.set(route, { isNested, judgedAtMs: nowMs });
    return isNested;
  }

  /** Lists the routes whose requests make calls, and what they call. */
  listEdges(nowMs: number): readonly (readonly [string, readonly Callee[]])[] {
    const edges = new Map<string, Callee[]>();
    for (const route of this.#inputs.coincidences.listCalled()) {
      const service = this.#services.get(route);
      if (service === undefined || !this.isNested(route, nowMs)) {
        continue;
      }
      for (const parent of this.#listCallers(route)) {
        const callees = edges.get(parent) ?? [];
        edges.set(parent, callees);
        callees.push({ route, service });
      }
    }
    return [...edges];
  }

  /** Lists the routes whose runs may make the calls of a route. */
  listParents(route: string, nowMs: number): readonly string[] {
    const before = this.#parents.get(route);
    if (before !== undefined && nowMs - before.listedAtMs < HOLD_MS) {
      return before.parents;
    }
    const parents = this.#listCallers(route);
    if (parents.length === 0) {
      this.#parents.delete(route);
    } else {
      this.#parents.set(route, { parents, listedAtMs: nowMs });
    }
    return parents;
  }

  /** A route that runs beside calls counts until it is shown to make none. */
  #listCallers(route: string): readonly string[] {
    const { coincidences } = this.#inputs;
    return coincidences.listParents(route).filter((parent) => {
      const { share, error } = coincidences.explainBy(route, parent);
      const isRare = coincidences.countCallsPerRun(route, parent) >
        MAX_CALLS_PER_RUN;
      return !isRare && share + CERTAIN_ERRORS * error >= MIN_EDGE_SHARE;
    });
  }

  #judge(route: string, nowMs: number): boolean {
    const { coincidences, spread, getService, countNodes } = this.#inputs;
    const { share, error } = coincidences.explain(route);
    const isCertain = error <= CERTAIN_ERROR;
    const bySpread = spread.judge(route, {
      service: getService(),
      nodes: countNodes(),
      nowMs,
    });
    return bySpread === true
      ? !isCertain || share >= ROOT_SHARE
      : isCertain && share >= NESTED_SHARE;
  }
}
