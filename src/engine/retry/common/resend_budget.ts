/** A small budget per caller for requests that it sends again by itself. */
import { hashText } from "../../../base/common/hash.ts";
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** A request that names itself. */
export interface IdentifiedRequest {
  readonly type: "RequestReceived";
  readonly caller: string;
  /** The same in each resend of the request. */
  readonly id: string;
}

/** The request is a resend over the budget of its caller. */
export interface RefuseResend {
  readonly type: "RefuseResend";
}

interface CallerCounts {
  readonly firsts: number;
  readonly resends: number;
}

/** What was seen in one stretch of time; split, so that a step copies little. */
interface Generation {
  readonly startedMs: number;
  readonly ids: readonly ReadonlySet<string>[];
  readonly idCount: number;
  readonly callers: readonly ReadonlyMap<string, CallerCounts>[];
}

/** Requests of the current generation and the one before. */
export interface ResendBudgets {
  readonly open: Generation;
  readonly last: Generation;
}

/** Shortest time that an id is remembered, but for `MAX_IDS`. */
export const RESEND_WINDOW_MS = 10_000;
/** Resends that a caller has in any case. */
export const RESEND_FLOOR = 10;
/** Resends as a share of the caller's distinct requests. */
export const RESEND_SHARE = 0.1;
/** Ids in a generation; beyond them the next one begins early. */
export const MAX_IDS = 4_096;
const BUCKETS = 128;
const NO_COUNTS: CallerCounts = { firsts: 0, resends: 0 };
const NO_IDS: ReadonlySet<string> = new Set();
const NO_CALLERS: ReadonlyMap<string, CallerCounts> = new Map();

/** Nothing was received yet. */
export const EMPTY_RESENDS: ResendBudgets = {
  open: createGeneration(0),
  last: createGeneration(0),
};

/**
 * Counts a request. One whose id is not remembered is a first one and never
 * refused; a resend is, where its caller's resends of both generations would
 * pass `RESEND_FLOOR + RESEND_SHARE * firsts`. What is forgotten early, for
 * want of room, counts as a first one again: the error is in favour of the
 * caller.
 */
export function reduceResendBudget(
  state: ResendBudgets,
  request: IdentifiedRequest,
  nowMs: number,
): Reduction<ResendBudgets, RefuseResend> {
  const { caller } = request;
  const id = `${caller}\n${request.id}`;
  const { open, last } = advanceGenerations(state, nowMs);
  const isResend = hasId(open, id) || hasId(last, id);
  const noted = addId(open, id);
  if (!isResend) {
    const next = countOne(noted, caller, { firsts: 1, resends: 0 });
    return createReduction({ open: next, last });
  }
  const now = findCounts(open, caller);
  const before = findCounts(last, caller);
  const resends = now.resends + before.resends + 1;
  const firsts = now.firsts + before.firsts;
  if (resends > RESEND_FLOOR + RESEND_SHARE * firsts) {
    return createReduction({ open: noted, last }, [{ type: "RefuseResend" }]);
  }
  const next = countOne(noted, caller, { firsts: 0, resends: 1 });
  return createReduction({ open: next, last });
}

function createGeneration(startedMs: number): Generation {
  return {
    startedMs,
    ids: Array.from({ length: BUCKETS }, () => NO_IDS),
    idCount: 0,
    callers: Array.from({ length: BUCKETS }, () => NO_CALLERS),
  };
}

function advanceGenerations(
  { open, last }: ResendBudgets,
  nowMs: number,
): ResendBudgets {
  const ageMs = nowMs - open.startedMs;
  if (ageMs < RESEND_WINDOW_MS && open.idCount < MAX_IDS) {
    return { open, last };
  }
  const isStale = ageMs >= 2 * RESEND_WINDOW_MS;
  return {
    open: createGeneration(nowMs),
    last: isStale ? EMPTY_RESENDS.last : open,
  };
}

function hasId(generation: Generation, id: string): boolean {
  return generation.ids[locate(id)]!.has(id);
}

/** A resend is remembered anew, so that its id stays known while it comes. */
function addId(generation: Generation, id: string): Generation {
  const index = locate(id);
  const bucket = generation.ids[index]!;
  if (bucket.has(id)) {
    return generation;
  }
  const ids = generation.ids.with(index, new Set(bucket).add(id));
  return { ...generation, ids, idCount: generation.idCount + 1 };
}

function findCounts(generation: Generation, caller: string): CallerCounts {
  return generation.callers[locate(caller)]!.get(caller) ?? NO_COUNTS;
}

function countOne(
  generation: Generation,
  caller: string,
  more: CallerCounts,
): Generation {
  const index = locate(caller);
  const { firsts, resends } = findCounts(generation, caller);
  const counts = {
    firsts: firsts + more.firsts,
    resends: resends + more.resends,
  };
  const bucket = setEntry(generation.callers[index]!, caller, counts);
  return { ...generation, callers: generation.callers.with(index, bucket) };
}

function locate(text: string): number {
  return hashText(text) % BUCKETS;
}
