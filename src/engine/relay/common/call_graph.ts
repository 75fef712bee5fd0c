/**
 * Learns which calls the local backend server makes itself, and whom it calls.
 * Nothing marks such a call, but it expires when the request expires that it
 * is made for; a caller's own request has a deadline of its own.
 */

/** A request that runs at the local backend server. */
export interface RunningParent {
  readonly route: string;
  /** Urgency of the root that it is made for; 0 is the most urgent. */
  readonly rank: number;
  readonly deadlineMs: number;
}

/** Where a call comes from. */
export interface CallOrigin {
  /** Whether the local backend server made it. */
  readonly isNested: boolean;
  /**
   * Urgency that a nested call takes over from the running request that
   * expires with it; undefined where none does.
   */
  readonly rank: number | undefined;
}

interface RouteRecord {
  /** Mean share of the route's calls that expire with a running request. */
  matchShare: number;
  count: number;
}

/**
 * How far the two ends may lie apart: remaining times travel in whole
 * milliseconds, twice, and pass two event loops.
 */
const TOLERANCE_MS = 5;
const SHARE_GAIN = 0.05;
/** Calls of a route before its share decides. */
const MIN_COUNT = 10;
/** From this share on, all calls of a route are the backend server's. */
const NESTED_SHARE = 0.5;
/** Rarer callees than this, against a route's commonest, are coincidences. */
const MIN_EDGE_SHARE = 0.05;
/** A callee that wasn't called for so long is forgotten. */
const FORGET_MS = 30_000;

/** Calls of one route that were made for requests of another. */
interface Edge {
  readonly route: string;
  readonly service: string;
  count: number;
  calledAtMs: number;
}

/** A callee of a route that the backend server runs. */
export type Callee = Pick<Edge, "route" | "service">;

/** What one node learnt. */
export class CallGraph {
  readonly #routes = new Map<string, RouteRecord>();
  /** By the parents' route, then by the calls' route. */
  readonly #edges = new Map<string, Map<string, Edge>>();

  /** Notes a call, and tells where it comes from. */
  observe(
    call: {
      readonly route: string;
      readonly service: string;
      readonly expiresAtMs: number;
    },
    running: Iterable<RunningParent>,
    nowMs: number,
  ): CallOrigin {
    const parents = findParents(call.expiresAtMs, running);
    const isMatch = parents.routes.size > 0;
    const record = this.#routes.get(call.route) ?? { matchShare: 0, count: 0 };
    this.#routes.set(call.route, record);
    record.count += 1;
    const gain = Math.max(SHARE_GAIN, 1 / record.count);
    record.matchShare += (Number(isMatch) - record.matchShare) * gain;
    const isNested = record.count < MIN_COUNT
      ? isMatch
      : record.matchShare >= NESTED_SHARE;
    // Where requests of two routes expire together, either may have called.
    if (isNested && parents.routes.size === 1) {
      const [parent] = parents.routes;
      this.#noteEdge(parent!, call, nowMs);
    }
    return { isNested, rank: isNested ? parents.nearest?.rank : undefined };
  }

  /** Lists the routes whose requests make calls, and what they call. */
  listEdges(nowMs: number): readonly (readonly [string, readonly Callee[]])[] {
    return [...this.#edges].map(([route, edges]) => {
      const recent = [...edges.values()]
        .filter(({ calledAtMs }) => nowMs - calledAtMs <= FORGET_MS);
      const most = recent.reduce((max, { count }) => Math.max(max, count), 0);
      return [
        route,
        recent.filter(({ count }) => count >= most * MIN_EDGE_SHARE),
      ] as const;
    }).filter(([, callees]) => callees.length > 0);
  }

  #noteEdge(parent: string, call: Callee, nowMs: number): void {
    const edges = this.#edges.get(parent) ?? new Map<string, Edge>();
    this.#edges.set(parent, edges);
    const { route, service } = call;
    const edge = edges.get(route) ??
      { route, service, count: 0, calledAtMs: 0 };
    edges.set(route, {
      ...edge,
      service,
      count: edge.count + 1,
      calledAtMs: nowMs,
    });
  }
}

/** Running requests that expire with a call. */
interface Parents {
  readonly routes: ReadonlySet<string>;
  /** The one whose expiry is nearest. */
  readonly nearest: RunningParent | undefined;
}

function findParents(
  expiresAtMs: number,
  running: Iterable<RunningParent>,
): Parents {
  const routes = new Set<string>();
  let nearest: RunningParent | undefined;
  let leastMs = Infinity;
  for (const parent of running) {
    const apartMs = Math.abs(parent.deadlineMs - expiresAtMs);
    if (apartMs <= TOLERANCE_MS) {
      routes.add(parent.route);
    }
    if (apartMs <= TOLERANCE_MS && apartMs < leastMs) {
      nearest = parent;
      leastMs = apartMs;
    }
  }
  return { routes, nearest };
}
