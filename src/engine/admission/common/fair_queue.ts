/** Order of the queue: by importance, then by weighted shares of the kinds. */
import type { KindState, QueuedRequest } from "./admission_types.ts";

/** Inputs of the choice of the next request. */
export interface SelectionInputs {
  /** By kind of request. */
  readonly kinds: ReadonlyMap<string, KindState>;
  /** Virtual time of the fair queue. */
  readonly virtualMs: number;
  /** Whether a request may run now. */
  readonly hasFreeCapacity: (request: QueuedRequest) => boolean;
}

/**
 * Compares two requests of one kind; the one to run first sorts first. The
 * order is importance, admission hash of the root request, depth (work already
 * done for the root request) and time of arrival.
 */
export function comparePriority(a: QueuedRequest, b: QueuedRequest): number {
  return b.importance - a.importance || b.admissionHash - a.admissionHash ||
    b.depth - a.depth || a.queuedAtMs - b.queuedAtMs;
}

/**
 * Selects the next request to run. Kinds of the highest importance share the
 * capacity by start-time fair queueing (Goyal, Vin and Cheng, 1996).
 */
export function selectNext(
  queue: readonly QueuedRequest[],
  inputs: SelectionInputs,
): QueuedRequest | undefined {
  const ready = queue.filter(inputs.hasFreeCapacity);
  const highest = Math.max(...ready.map((request) => request.importance));
  return ready.filter((request) => request.importance === highest)
    .toSorted((a, b) =>
      computeStartTag(inputs, a.row.kind) -
        computeStartTag(inputs, b.row.kind) || comparePriority(a, b)
    )[0];
}

/** Computes the start tag of the next request of a kind, in virtual ms. */
export function computeStartTag(
  inputs: Pick<SelectionInputs, "kinds" | "virtualMs">,
  kind: string,
): number {
  const finishTag = inputs.kinds.get(kind)?.finishTag ?? 0;
  return Math.max(inputs.virtualMs, finishTag);
}

/**
 * Selects the request to refuse: of the lowest importance, then of the kind
 * with the most queued requests for its weight, then of the lowest priority,
 * then the newest.
 */
export function selectVictim(
  queue: readonly QueuedRequest[],
): QueuedRequest | undefined {
  const lowest = Math.min(...queue.map((request) => request.importance));
  const candidates = queue.filter((request) => request.importance === lowest);
  const counts = countByKind(candidates);
  return candidates.toReversed().toSorted((a, b) =>
    computeQueueShare(counts, b) - computeQueueShare(counts, a) ||
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
  counts: ReadonlyMap<string, number>,
  request: QueuedRequest,
): number {
  return counts.get(request.row.kind)! / request.row.weight;
}
