/**
 * Refuses root requests at their entry where a service on their way is short
 * of room: work that would fail midway is not begun. Least urgent first.
 */

/**
 * Most of one rank that is refused before the next more urgent one is touched:
 * no kind of request is starved.
 */
const MAX_SHARE = 0.85;
/** Part of the pressure in which only the least urgent rank is refused. */
const LAST_RANK_PART = 0.6;

/** What is asked for one root request. */
export interface RootRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The least urgent rank of the table. */
  readonly lastRank: number;
  /** Of the narrowest service on its way, 0 to 1. */
  readonly pressure: number;
  /** From 0 to 1; one a request. */
  readonly draw: number;
}

/** Whether a root request is refused. */
export function isRootRefused(request: RootRequest): boolean {
  return request.draw < computeRefusedShare(request);
}

/**
 * The least urgent rank bears the larger part of the pressure, so that its
 * swings don't reach the others; these share the rest, one after the other.
 */
export function computeRefusedShare(
  { rank, lastRank, pressure }: Omit<RootRequest, "draw">,
): number {
  const others = lastRank;
  const last = others === 0 ? 1 : LAST_RANK_PART;
  const band = rank >= lastRank ? last : (1 - last) / others;
  const start = rank >= lastRank ? 0 : last + band * (lastRank - rank - 1);
  const part = (pressure - start) / band;
  return Math.max(0, Math.min(1, part)) * MAX_SHARE;
}
