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
  /** Order among roots of one rank; 0 comes first. */
  readonly ticket: number;
  readonly deadlineMs: number;
}

/** What runs now; gone through more than once. */
type Running = ReadonlySet<RunningParent> | readonly RunningParent[];

/** What a nested call takes over from the request that it is made for. */
export type Urgency = Pick<RunningParent, "rank" | "ticket">;

/** Where a call comes from. */
export interface CallOrigin {
  /** Whether the local backend server made it. */
  readonly isNested: boolean;
  /**
   * What a nested call takes over from the running requests that
   * expire with it; undefined where none does.
   */
  readonly urgency: Urgency | undefined;
}

/** How often calls expire with a running request. */
interface Tally {
  /** Mean share of those that do. */
  matchShare: number;
  /** The same for an expiry that is none: so many matches are chance. */
  chanceShare: number;
  count: number;
}

interface RouteRecord {
  /** Calls that were given the most time that any of the route are given. */
  readonly longest: Tally;
  readonly others: Tally;
  longestMs: number;
  longestCount: number;
  /** Calls since `longestMs` was first seen. */
  count: number;
}

/**
 * How far the two ends may lie apart: remaining times travel in whole
 * milliseconds, twice, and pass two event loops.
 */
const TOLERANCE_MS = 5;
const SHARE_GAIN = 0.02;
/** Calls of a route before its share decides. */
const MIN_COUNT = 10;
/** Calls that were given the most time before that counts as a limit. */
const MIN_LONGEST_COUNT = 3;
/** The same, as a share: the most of many different times stands alone. */
const MIN_LONGEST_SHARE = 0.02;
/** How far from a call's expiry matches are taken for chance. */
const CHANCE_OFFSET_MS = 37;
/** From this share on, all calls of a route are the backend server's. */
const NESTED_SHARE = 0.5;
/** Where chance matches more than this, matches say nothing. */
const MAX_CHANCE = 0.95;
/**
 * Calls a run that make an edge. A coincidence taken for one lets refusals of
 * one route spread to others, and back: roots are refused with room below.
 */
const MIN_CALLS_A_RUN = 0.2;
/** Matches above chance before an edge counts. */
const MIN_EDGE_COUNT = 5;
/** Counts are halved so often: what is called no more is forgotten. */
const HALVE_MS = 10_000;

/** Calls of one route that were made for requests of another. */
interface Edge {
  readonly route: string;
  readonly service: string;
  /** Matches, less those that are chance. */
  count: number;
}

/** A callee of a route that the backend server runs. */
export type Callee = Pick<Edge, "route" | "service">;

/** What one node learnt. */
export class CallGraph {
  readonly #routes = new Map<string, RouteRecord>();
  /** By the parents' route, then by the calls' route. */
  readonly #edges = new Map<string, Map<string, Edge>>();
  readonly #runs = new Map<string, number>();
  #halvedAtMs = 0;

  /** Notes that the backend server begins to run a request of a route. */
  noteRun(route: string, nowMs: number): void {
    this.#halve(nowMs);
    this.#runs.set(route, (this.#runs.get(route) ?? 0) + 1);
  }

  /** Notes a call, and tells where it comes from. */
  observe(
    call: {
      readonly route: string;
      readonly service: string;
      /** How long the caller will wait. */
      readonly patienceMs: number;
    },
    running: Running,
    nowMs: number,
  ): CallOrigin {
    this.#halve(nowMs);
    const expiresAtMs = nowMs + call.patienceMs;
    const parents = findParents(expiresAtMs, running);
    const chance = findParents(expiresAtMs + CHANCE_OFFSET_MS, running);
    const record = this.#getRecord(call.route);
    const isLongest = noteLongest(record, call.patienceMs);
    const tally = isLongest ? record.longest : record.others;
    learn(tally, parents, chance);
    const isOwn = isNestedTally(tally);
    if (isOwn) {
      this.#noteEdge(parents, call, 1);
      this.#noteEdge(chance, call, -1);
    }
    const { longest, others } = record;
    const isNew = Math.max(longest.count, others.count) < MIN_COUNT;
    const isNested = isOwn || isNestedTally(longest) ||
      isNestedTally(others) || (isNew && parents.routes.size > 0);
    const urgency = isOwn || isNew
      ? parents.urgency
      : findLongerParent(expiresAtMs, running);
    return {
      isNested,
      urgency: isNested && urgency !== undefined
        ? { rank: urgency.rank, ticket: urgency.ticket }
        : undefined,
    };
  }

  /** Lists the routes whose requests make calls, and what they call. */
  listEdges(): readonly (readonly [string, readonly Callee[]])[] {
    return [...this.#edges].map(([route, edges]) => {
      const runs = this.#runs.get(route) ?? 0;
      const least = Math.max(MIN_EDGE_COUNT, runs * MIN_CALLS_A_RUN);
      const callees = [...edges.values()].filter(({ count }) => count >= least);
      return [route, callees] as const;
    }).filter(([, callees]) => callees.length > 0);
  }

  #getRecord(route: string): RouteRecord {
    const record = this.#routes.get(route) ?? {
      longest: createTally(),
      others: createTally(),
      longestMs: 0,
      longestCount: 0,
      count: 0,
    };
    this.#routes.set(route, record);
    return record;
  }

  /** Where requests of two routes expire together, either may have called. */
  #noteEdge({ routes }: Parents, call: Callee, change: number): void {
    if (routes.size !== 1) {
      return;
    }
    const [parent] = routes;
    const edges = this.#edges.get(parent!) ?? new Map<string, Edge>();
    this.#edges.set(parent!, edges);
    const { route, service } = call;
    const count = (edges.get(route)?.count ?? 0) + change;
    edges.set(route, { route, service, count });
  }

  #halve(nowMs: number): void {
    if (nowMs - this.#halvedAtMs < HALVE_MS) {
      return;
    }
    this.#halvedAtMs = nowMs;
    for (const [route, runs] of this.#runs) {
      this.#runs.set(route, runs / 2);
    }
    for (const edges of this.#edges.values()) {
      for (const edge of edges.values()) {
        edge.count /= 2;
      }
    }
  }
}

/**
 * Notes the time that a call was given, and tells whether it is the most that
 * calls of its route are given: by a limit of their own kind, as a rule, not by
 * the request that they are made for. Their expiry shows nothing then, so they
 * are counted apart.
 */
function noteLongest(record: RouteRecord, patienceMs: number): boolean {
  record.count += 1;
  if (patienceMs > record.longestMs) {
    record.longestMs = patienceMs;
    record.longestCount = 0;
    record.count = 1;
  }
  const isLongest = patienceMs === record.longestMs;
  record.longestCount += Number(isLongest);
  return isLongest && record.longestCount >= MIN_LONGEST_COUNT &&
    record.longestCount >= record.count * MIN_LONGEST_SHARE;
}

function createTally(): Tally {
  return { matchShare: 0, chanceShare: 0, count: 0 };
}

function learn(tally: Tally, parents: Parents, chance: Parents): void {
  tally.count += 1;
  const gain = Math.max(SHARE_GAIN, 1 / tally.count);
  const isMatch = Number(parents.routes.size > 0);
  const isChance = Number(chance.routes.size > 0);
  tally.matchShare += (isMatch - tally.matchShare) * gain;
  tally.chanceShare += (isChance - tally.chanceShare) * gain;
}

/**
 * Whether calls are the backend server's: with 80 requests running that expire
 * within 800 ms, three in five of any calls match one of them by chance.
 */
function isNestedTally({ matchShare, chanceShare, count }: Tally): boolean {
  const chance = Math.min(MAX_CHANCE, chanceShare);
  return count >= MIN_COUNT &&
    (matchShare - chance) / (1 - chance) >= NESTED_SHARE;
}

/** Finds the most urgent request that expires no sooner. */
function findLongerParent(
  expiresAtMs: number,
  running: Running,
): Urgency | undefined {
  let urgency: Urgency | undefined;
  for (const parent of running) {
    if (parent.deadlineMs >= expiresAtMs - TOLERANCE_MS) {
      urgency = chooseUrgent(urgency, parent);
    }
  }
  return urgency;
}

function chooseUrgent(a: Urgency | undefined, b: Urgency): Urgency {
  if (a === undefined) {
    return b;
  }
  return (a.rank - b.rank || a.ticket - b.ticket) <= 0 ? a : b;
}

/** Running requests that expire with a call. */
interface Parents {
  readonly routes: ReadonlySet<string>;
  /** Of the most urgent one; undefined where none expires with the call. */
  readonly urgency: Urgency | undefined;
}

const NO_ROUTES: ReadonlySet<string> = new Set();

/**
 * Where several expire together, the most urgent one counts: taking a call of a
 * transfer for one of a lookup loses the transfer, and one in twelve calls of
 * lookups that go before their turn cost little. On the path of each call, so
 * nothing is allocated where none matches.
 */
function findParents(
  expiresAtMs: number,
  running: Running,
): Parents {
  let routes: Set<string> | undefined;
  let urgency: Urgency | undefined;
  for (const parent of running) {
    if (Math.abs(parent.deadlineMs - expiresAtMs) <= TOLERANCE_MS) {
      routes ??= new Set();
      routes.add(parent.route);
      urgency = chooseUrgent(urgency, parent);
    }
  }
  return { routes: routes ?? NO_ROUTES, urgency };
}
