/** Budget per caller for resends: requests that it sends again by itself. */
import { hashText } from "../../../base/common/hash.ts";
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** A request with an id that its resends share. */
export interface IdentifiedRequest {
  readonly type: "RequestReceived";
  /** Identifies the caller. */
  readonly caller: string;
  /** Id of the request, the same in each resend; unique for the caller. */
  readonly id: string;
}

/** Refuses a request that is a resend over the budget of its caller. */
export interface RefuseResend {
  readonly type: "RefuseResend";
}

/** Requests of one caller in a generation. */
interface CallerCounts {
  /** Distinct requests. */
  readonly firsts: number;
  /** Resends that were not refused. */
  readonly resends: number;
}

/**
 * Requests received in one period. Ids and callers are split into buckets by
 * hash, so that a step copies only one bucket.
 */
interface Generation {
  /** Steady clock in milliseconds. */
  readonly startedAtMs: number;
  readonly ids: readonly ReadonlySet<string>[];
  readonly idCount: number;
  /** Counts by caller. */
  readonly callers: readonly ReadonlyMap<string, CallerCounts>[];
}

/** State: the requests of the current and the previous generation. */
export interface ResendBudgets {
  readonly current: Generation;
  readonly previous: Generation;
}

/** Minimum retention of an id, unless `MAX_GENERATION_IDS` is reached. */
export const RESEND_WINDOW_MS = 10_000;
/** Resends allowed to each caller regardless of its distinct requests. */
export const RESEND_FLOOR = 10;
/** Further resends allowed, as a share of the caller's distinct requests. */
export const RESEND_SHARE = 0.1;
/** Maximum number of ids in a generation; then the next one begins early. */
export const MAX_GENERATION_IDS = 4_096;
const BUCKET_COUNT = 128;
const NO_COUNTS: CallerCounts = { firsts: 0, resends: 0 };
const NO_IDS: ReadonlySet<string> = new Set();
const NO_CALLERS: ReadonlyMap<string, CallerCounts> = new Map();

/** State before any request. */
export const EMPTY_RESEND_BUDGETS: ResendBudgets = {
  current: createGeneration(0),
  previous: createGeneration(0),
};

/**
 * Records a request. A request whose id is not retained is a first one, which
 * is never refused. A resend is refused if the caller's resends in both
 * generations would exceed `RESEND_FLOOR + RESEND_SHARE * firsts`. An id that
 * is evicted early, because a generation was full, counts as a first one
 * again: the error is in favour of the caller.
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

function createGeneration(startedAtMs: number): Generation {
  return {
    startedAtMs,
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

/** Adds the id of a first request or resend, which prolongs its retention. */
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
  increment: CallerCounts,
): Generation {
  const index = computeBucket(caller);
  const { firsts, resends } = getCounts(generation, caller);
  const counts = {
    firsts: firsts + increment.firsts,
    resends: resends + increment.resends,
  };
  const bucket = setEntry(generation.callers[index]!, caller, counts);
  return { ...generation, callers: generation.callers.with(index, bucket) };
}

function computeBucket(text: string): number {
  return hashText(text) % BUCKET_COUNT;
}
