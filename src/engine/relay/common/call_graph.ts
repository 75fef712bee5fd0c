/**
 * Learns which calls the local backend server makes itself, and whom it calls.
 * Nothing marks such a call, but it expires when the request expires that it
 * is made for; a caller's own request has a deadline of its own.
 */

/** A request that runs at the local backend server. */
export interface RunningParent {
  readonly route: string;
  readonly deadlineMs: number;
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
/** A callee that wasn't called for so long is forgotten. */
const FORGET_MS = 30_000;

/** What one node learnt. */
export class CallGraph {
  readonly #routes = new Map<string, RouteRecord>();
  /** When each service was last called for the backend server. */
  readonly #callees = new Map<string, number>();

  /** Notes a call, and tells whether the backend server made it. */
  observe(
    call: {
      readonly route: string;
      readonly service: string;
      readonly expiresAtMs: number;
    },
    running: Iterable<RunningParent>,
    nowMs: number,
  ): boolean {
    const isMatch = hasParent(call.expiresAtMs, running);
    const record = this.#routes.get(call.route) ?? { matchShare: 0, count: 0 };
    this.#routes.set(call.route, record);
    record.count += 1;
    const gain = Math.max(SHARE_GAIN, 1 / record.count);
    record.matchShare += (Number(isMatch) - record.matchShare) * gain;
    const isNested = record.count < MIN_COUNT
      ? isMatch
      : record.matchShare >= NESTED_SHARE;
    if (isNested) {
      this.#callees.set(call.service, nowMs);
    }
    return isNested;
  }

  /** Lists the services that the backend server called lately. */
  listCallees(nowMs: number): readonly string[] {
    for (const [service, calledAtMs] of this.#callees) {
      if (nowMs - calledAtMs > FORGET_MS) {
        this.#callees.delete(service);
      }
    }
    return [...this.#callees.keys()];
  }
}

function hasParent(
  expiresAtMs: number,
  running: Iterable<RunningParent>,
): boolean {
  for (const { deadlineMs } of running) {
    if (Math.abs(deadlineMs - expiresAtMs) <= TOLERANCE_MS) {
      return true;
    }
  }
  return false;
}
