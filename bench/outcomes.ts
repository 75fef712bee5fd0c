/** Outcomes of root requests, and figures computed from them. */

/**
 * Outcome of a root request for its caller: `whole` is a complete answer, and
 * `late` no answer before the timeout.
 */
export type RootResult = "whole" | "refused" | "late" | "failed";

/** The outcome of one root request. */
export interface RootOutcome {
  readonly kind: string;
  /** Planned arrival, in milliseconds from the start of the load. */
  readonly arrivedAtMs: number;
  /** When the last send ended, in milliseconds from the start of the load. */
  readonly endedAtMs: number;
  readonly result: RootResult;
  /** Service that refused it: its own or a downstream one. */
  readonly refusedBy?: string;
  /** Number of times that the caller sent it. */
  readonly sends: number;
  /** Delay of the first send after the planned arrival, in milliseconds. */
  readonly lagMs: number;
}

/** A time interval; the end is exclusive. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Importance and service of a kind of request. */
export interface KindRank {
  readonly kind: string;
  readonly isImportant: boolean;
  readonly service: string;
}

const BUCKET_MS = 100;
/** Number of buckets over which a recovery must hold. */
const HOLD_BUCKETS = 10;
const RECOVERED_SHARE = 0.99;

/** Computes a percentile by nearest rank; `share` is from 0 to 1. */
export function computePercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? NaN;
}

/** Computes complete answers per second that ended in `span`. */
export function computeGoodput(
  outcomes: readonly RootOutcome[],
  span: Span,
): number {
  const whole = outcomes.filter(({ result, endedAtMs }) =>
    result === "whole" && isWithin(endedAtMs, span)
  );
  return whole.length * 1_000 / (span.toMs - span.fromMs);
}

/** Computes the share of root requests arriving in `span` that had `result`. */
export function computeShare(
  outcomes: readonly RootOutcome[],
  result: RootResult,
  span: Span,
): number {
  const arrived = outcomes.filter(({ arrivedAtMs }) =>
    isWithin(arrivedAtMs, span)
  );
  const matching = arrived.filter((outcome) => outcome.result === result);
  return arrived.length === 0 ? 0 : matching.length / arrived.length;
}

/**
 * Computes the time from the start of `after` until the share of complete
 * answers reaches 99% of that in `before` and holds for one second, in steps of
 * 100 ms by arrival. Undefined if it does not recover within `after`.
 */
export function computeRecoveryMs(
  outcomes: readonly RootOutcome[],
  before: Span,
  after: Span,
): number | undefined {
  const requiredShare = RECOVERED_SHARE *
    computeShare(outcomes, "whole", before);
  const holdMs = HOLD_BUCKETS * BUCKET_MS;
  for (
    let fromMs = after.fromMs;
    fromMs + holdMs <= after.toMs;
    fromMs += BUCKET_MS
  ) {
    const window = { fromMs, toMs: fromMs + holdMs };
    if (computeShare(outcomes, "whole", window) >= requiredShare) {
      return fromMs - after.fromMs;
    }
  }
  return undefined;
}

/**
 * Counts priority inversions: important root requests that a service refused in
 * an interval of 100 ms in which it completed an unimportant one.
 */
export function countInversions(
  outcomes: readonly RootOutcome[],
  ranks: readonly KindRank[],
): number {
  const byKind = new Map(ranks.map((rank) => [rank.kind, rank]));
  const bucketsWithUnimportant = new Set<string>();
  for (const { kind, result, endedAtMs } of outcomes) {
    const { isImportant, service } = byKind.get(kind)!;
    if (result === "whole" && !isImportant) {
      bucketsWithUnimportant.add(formatBucket(service, endedAtMs));
    }
  }
  return outcomes.filter(({ kind, result, refusedBy, endedAtMs }) => {
    const { isImportant, service } = byKind.get(kind)!;
    return isImportant && result === "refused" &&
      bucketsWithUnimportant.has(formatBucket(refusedBy ?? service, endedAtMs));
  }).length;
}

function formatBucket(service: string, atMs: number): string {
  return `${service} ${Math.floor(atMs / BUCKET_MS)}`;
}

function isWithin(atMs: number, span: Span): boolean {
  return atMs >= span.fromMs && atMs < span.toMs;
}
