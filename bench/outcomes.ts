/** What became of root requests, and the figures that are drawn from it. */

/** What became of a root request, as its caller saw it. */
export type RootResult = "whole" | "refused" | "late" | "failed";

/** One root request. */
export interface RootOutcome {
  readonly kind: string;
  /** From the start of the load, in milliseconds. */
  readonly arrivedAtMs: number;
  readonly endedAtMs: number;
  readonly result: RootResult;
  /** Service that refused it, its own or one below. */
  readonly refusedBy?: string;
  /** Times that the caller sent it. */
  readonly sends: number;
  /** How much later than planned it was sent. */
  readonly lagMs: number;
}

/** A stretch of time, end excluded. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The importance and the service of a kind. */
export interface KindRank {
  readonly kind: string;
  readonly isImportant: boolean;
  readonly service: string;
}

const BUCKET_MS = 100;
/** Buckets over which a recovery must hold. */
const HOLD_BUCKETS = 10;
const RECOVERED_SHARE = 0.99;

/** Computes the value below which `share` of the values lie (nearest rank). */
export function computePercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? NaN;
}

/** Computes whole answers a second that ended in `span`. */
export function computeGoodput(
  outcomes: readonly RootOutcome[],
  span: Span,
): number {
  const whole = outcomes.filter(({ result, endedAtMs }) =>
    result === "whole" && isIn(endedAtMs, span)
  );
  return whole.length * 1_000 / (span.toMs - span.fromMs);
}

/** Computes the share of the root requests arriving in `span` with `result`. */
export function computeShare(
  outcomes: readonly RootOutcome[],
  result: RootResult,
  span: Span,
): number {
  const arrived = outcomes.filter(({ arrivedAtMs }) => isIn(arrivedAtMs, span));
  const matching = arrived.filter((outcome) => outcome.result === result);
  return arrived.length === 0 ? 0 : matching.length / arrived.length;
}

/**
 * Computes the time after `surge` until 99% of the share of whole answers
 * before it is back, in buckets of 100 ms by arrival; it must hold for one
 * second. Undefined where it doesn't come back before `endMs`.
 */
export function computeRecoveryMs(
  outcomes: readonly RootOutcome[],
  before: Span,
  after: Span,
): number | undefined {
  const wanted = RECOVERED_SHARE * computeShare(outcomes, "whole", before);
  const holdMs = HOLD_BUCKETS * BUCKET_MS;
  for (
    let fromMs = after.fromMs;
    fromMs + holdMs <= after.toMs;
    fromMs += BUCKET_MS
  ) {
    const hold = { fromMs, toMs: fromMs + holdMs };
    if (computeShare(outcomes, "whole", hold) >= wanted) {
      return fromMs - after.fromMs;
    }
  }
  return undefined;
}

/**
 * Counts important root requests that a service refused in a bucket of 100 ms
 * in which it served an unimportant one whole.
 */
export function countInversions(
  outcomes: readonly RootOutcome[],
  ranks: readonly KindRank[],
): number {
  const byKind = new Map(ranks.map((rank) => [rank.kind, rank]));
  const servedIn = new Set<string>();
  for (const { kind, result, endedAtMs } of outcomes) {
    const { isImportant, service } = byKind.get(kind)!;
    if (result === "whole" && !isImportant) {
      servedIn.add(formatBucket(service, endedAtMs));
    }
  }
  return outcomes.filter(({ kind, result, refusedBy, endedAtMs }) => {
    const { isImportant, service } = byKind.get(kind)!;
    return isImportant && result === "refused" &&
      servedIn.has(formatBucket(refusedBy ?? service, endedAtMs));
  }).length;
}

function formatBucket(service: string, atMs: number): string {
  return `${service} ${Math.floor(atMs / BUCKET_MS)}`;
}

function isIn(atMs: number, span: Span): boolean {
  return atMs >= span.fromMs && atMs < span.toMs;
}
