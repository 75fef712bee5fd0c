/**
 * Refuses root requests at their entry where a service on their way is short
 * of room: work that would fail midway is not begun. Least urgent first.
 */
import { hashBytes, hashText } from "../../../base/common/hash.ts";

/**
 * Most of one rank that is refused before the next more urgent one is touched:
 * no kind of request is starved.
 */
const MAX_SHARE = 0.85;
/**
 * For so long the same request meets the same answer while the pressure is the
 * same: a client that repeats at once can't get in by trying often. In 12 s of
 * a surge with such clients 0.85 of the whole credit was earned, 0.76 where
 * each try was drawn anew (a run each; backlog weighed more, too).
 */
const DRAW_PERIOD_MS = 8_000;
/** Bytes of a body that tell it from others; hashing all would cost more. */
const HASHED_BYTES = 1_024;
const HASH_RANGE = 0x1_0000_0000;
/**
 * A rank that takes less than this part of what the next more urgent one takes
 * is refused together with it, in the same share: refusing all of it first
 * would turn many callers away and make next to no room.
 */
const SMALL_PART = 0.5;

/** Requests of one rank that lead to a service that is short of room. */
export interface RankDemand {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time of that service that they ask for, in milliseconds a second. */
  readonly work: number;
}

/** What is asked for one root request. */
export interface RootRequest {
  readonly rank: number;
  /** Part of the work asked for that is to be refused, 0 to 1. */
  readonly pressure: number;
  /** Of all ranks that lead there, the request's own among them. */
  readonly demands: readonly RankDemand[];
  /** From 0 to 1; the same for repeats of a request. */
  readonly draw: number;
}

/** Whether a root request is refused. */
export function isRootRefused(request: RootRequest): boolean {
  return request.draw < computeRefusedShare(request);
}

/**
 * Computes which share of a rank is refused: work is taken off the least urgent
 * ranks first, each up to `MAX_SHARE`, until as much is off as the pressure
 * asks for. What a rank's requests take of the scarce service decides how far
 * that goes, so the same pressure makes the same room whatever the mix is.
 */
export function computeRefusedShare(
  { rank, pressure, demands }: Omit<RootRequest, "draw">,
): number {
  const groups = mergeRanks(demands);
  const all = demands.reduce((sum, { work }) => sum + work, 0);
  let left = pressure * MAX_SHARE * all;
  for (const { ranks, work } of groups) {
    const share = Math.min(MAX_SHARE, left / Math.max(work, Number.EPSILON));
    if (ranks.includes(rank)) {
      return share;
    }
    left = Math.max(0, left - share * work);
  }
  return pressure * MAX_SHARE;
}

interface RankGroup {
  readonly ranks: readonly number[];
  readonly work: number;
}

/** Least urgent first; a small rank goes with the next more urgent one. */
function mergeRanks(demands: readonly RankDemand[]): readonly RankGroup[] {
  const sorted = demands.toSorted((a, b) => b.rank - a.rank);
  const groups: RankGroup[] = [];
  let ranks: readonly number[] = [];
  let work = 0;
  sorted.forEach((demand, at) => {
    ranks = [...ranks, demand.rank];
    work += demand.work;
    const next = sorted[at + 1];
    if (next === undefined || work >= next.work * SMALL_PART) {
      groups.push({ ranks, work });
      ranks = [];
      work = 0;
    }
  });
  return groups;
}

/**
 * Draws a number from 0 to 1 for a request by what it asks for, not by its id:
 * each repeat has a new one. Periods of requests end at different times.
 */
export function drawForRequest(
  request: {
    readonly route: string;
    readonly target: string;
    readonly body: Uint8Array;
  },
  nowMs: number,
): number {
  const { route, target, body } = request;
  const content = `${body.length} ${hashBytes(body.subarray(0, HASHED_BYTES))}`;
  const phase = hashText(`${route} ${target} ${content}`) / HASH_RANGE;
  const period = Math.floor(nowMs / DRAW_PERIOD_MS + phase);
  return hashText(`${period} ${target} ${content} ${route}`) / HASH_RANGE;
}
