/**
 * Refuses root requests at their entry where a service on their way is short
 * of room: work that would fail midway is not begun. Least urgent first.
 */

/**
 * Most of one rank that is refused before the next more urgent one is touched:
 * no kind of request is starved.
 */
const MAX_SHARE = 0.85;

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

/** Each rank has an equal part of the pressure, the least urgent the first. */
export function computeRefusedShare(
  { rank, lastRank, pressure }: Omit<RootRequest, "draw">,
): number {
  const ranks = lastRank + 1;
  const before = lastRank - Math.min(rank, lastRank);
  const part = pressure * ranks - before;
  return Math.max(0, Math.min(1, part)) * MAX_SHARE;
}
