/** Order of the queue: importance, then weighted shares of the kinds. */
import type { KindState, QueuedRequest } from "./admission_types.ts";

/** What decides whose turn it is. */
export interface SelectionInputs {
  readonly kinds: ReadonlyMap<string, KindState>;
  readonly virtualMs: number;
  readonly hasFreeCapacity: (request: QueuedRequest) => boolean;
}

/**
 * Orders requests of one kind, first to run first: importance, hash of the
 * root, work already invested, age.
 */
export function comparePriority(a: QueuedRequest, b: QueuedRequest): number {
  return b.importance - a.importance || b.admissionHash - a.admissionHash ||
    b.depth - a.depth || a.queuedAtMs - b.queuedAtMs;
}

/**
 * Selects the next request. Kinds of one importance take turns by start-time
 * fair queueing (Goyal, Vin and Cheng, 1996).
 */
export function selectNext(
  queue: readonly QueuedRequest[],
  inputs: SelectionInputs,
): QueuedRequest | undefined {
  const ready = queue.filter(inputs.hasFreeCapacity);
  const top = Math.max(...ready.map((request) => request.importance));
  return ready.filter((request) => request.importance === top)
    .toSorted((a, b) =>
      computeStartTag(inputs, a.row.kind) -
        computeStartTag(inputs, b.row.kind) || comparePriority(a, b)
    )[0];
}

/** Computes the start tag of the next request of a kind. */
export function computeStartTag(
  inputs: Pick<SelectionInputs, "kinds" | "virtualMs">,
  kind: string,
): number {
  const finishTag = inputs.kinds.get(kind)?.finishTag ?? 0;
  return Math.max(inputs.virtualMs, finishTag);
}

/**
 * Selects the request to give up: of the least importance, of the kind that
 * holds most of the queue for its weight, last in rank, the newest.
 */
export function selectVictim(
  queue: readonly QueuedRequest[],
): QueuedRequest | undefined {
  const lowest = Math.min(...queue.map((request) => request.importance));
  const low = queue.filter((request) => request.importance === lowest);
  const held = countByKind(low);
  return low.toReversed().toSorted((a, b) =>
    computeQueueShare(held, b) - computeQueueShare(held, a) ||
    comparePriority(b, a)
  )[0];
}

/** Counts requests by kind. */
export function countByKind(
  requests: readonly QueuedRequest[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { row } of requests) {
    counts.set(row.kind, (counts.get(row.kind) ?? 0) + 1);
  }
  return counts;
}

function computeQueueShare(
  held: ReadonlyMap<string, number>,
  request: QueuedRequest,
): number {
  return held.get(request.row.kind)! / request.row.weight;
}
