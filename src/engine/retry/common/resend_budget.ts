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
  readonly startedAtMs: number;
  readonly ids: readonly ReadonlySet<string>[];
  readonly idCount: number;
  readonly callers: readonly ReadonlyMap<string, CallerCounts>[];
}

/** Requests of the current generation and the one before. */
export interface ResendBudgets {
  readonly current: Generation;
  readonly previous: Generation;
}

/** Shortest time that an id is remembered, but for `MAX_IDS`. */
export const RESEND_WINDOW_MS = 10_000;
/** Resends that a caller has in any case. */
export const RESEND_FLOOR = 10;
/** Resends as a share of the caller's distinct requests. */
export const RESEND_SHARE = 0.1;
/** Ids in a generation; beyond them the next one begins early. */
export const MAX_GENERATION_IDS = 4_096;
const BUCKET_COUNT = 128;
const NO_COUNTS: CallerCounts = { firsts: 0, resends: 0 };
const NO_IDS: ReadonlySet<string> = new Set();
const NO_CALLERS: ReadonlyMap<string, CallerCounts> = new Map();

/** Nothing was received yet. */
export const EMPTY_RESEND_BUDGETS: ResendBudgets = {
  current: createGeneration(0),
  previous: createGeneration(0),
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
  const { current, previous } = advanceGenerations(state, nowMs);
  const isResend = hasId(current, id) || hasId(previous, id);
  const recorded = addId(current, id);
  if (!isResend) {
    const next = addCounts(recorded, caller, { firsts: 1, resends: 0 });
    return createReduction({ current: next, previous });
  }
  const currentCounts = getCounts(current, caller);
  const previousCounts = getCounts(previous, caller);
  const resends = currentCounts.resends + previousCounts.resends + 1;
  const firsts = currentCounts.firsts + previousCounts.firsts;
  if (resends > RESEND_FLOOR + RESEND_SHARE * firsts) {
    return createReduction(
      { current: recorded, previous },
      [{ type: "RefuseResend" }],
    );
  }
  const next = addCounts(recorded, caller, { firsts: 0, resends: 1 });
  return createReduction({ current: next, previous });
}

function createGeneration(startedMs: number): Generation {
  return {
    startedAtMs: startedMs,
    ids: Array.from({ length: BUCKET_COUNT }, () => NO_IDS),
    idCount: 0,
    callers: Array.from({ length: BUCKET_COUNT }, () => NO_CALLERS),
  };
}

function advanceGenerations(
  { current, previous }: ResendBudgets,
  nowMs: number,
): ResendBudgets {
  const ageMs = nowMs - current.startedAtMs;
  if (ageMs < RESEND_WINDOW_MS && current.idCount < MAX_GENERATION_IDS) {
    return { current, previous };
  }
  const isStale = ageMs >= 2 * RESEND_WINDOW_MS;
  return {
    current: createGeneration(nowMs),
    previous: isStale ? EMPTY_RESEND_BUDGETS.previous : current,
  };
}

function hasId(generation: Generation, id: string): boolean {
  return generation.ids[computeBucket(id)]!.has(id);
}

/** A resend is remembered anew, so that its id stays known while it comes. */
function addId(generation: Generation, id: string): Generation {
  const index = computeBucket(id);
  const bucket = generation.ids[index]!;
  if (bucket.has(id)) {
    return generation;
  }
  const ids = generation.ids.with(index, new Set(bucket).add(id));
  return { ...generation, ids, idCount: generation.idCount + 1 };
}

function getCounts(generation: Generation, caller: string): CallerCounts {
  return generation.callers[computeBucket(caller)]!.get(caller) ?? NO_COUNTS;
}

function addCounts(
  generation: Generation,
  caller: string,
  more: CallerCounts,
): Generation {
  const index = computeBucket(caller);
  const { firsts, resends } = getCounts(generation, caller);
  const counts = {
    firsts: firsts + more.firsts,
    resends: resends + more.resends,
  };
  const bucket = setEntry(generation.callers[index]!, caller, counts);
  return { ...generation, callers: generation.callers.with(index, bucket) };
}

function computeBucket(text: string): number {
  return hashText(text) % BUCKET_COUNT;
}
