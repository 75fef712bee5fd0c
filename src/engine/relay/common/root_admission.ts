/**
 * Refuses root requests at their entry where a service on their way is short
 * of room: work that would fail midway is not begun. Least urgent first.
 */
import { MAX_REFUSED_SHARE } from "./pressure.ts";

/** What is asked for one root request. */
export interface RootRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The least urgent rank of the table. */
  readonly lastRank: number;
  /** Level of the narrowest service on its way, in ranks. */
  readonly pressure: number;
  /** From 0 to 1; one a request. */
  readonly draw: number;
}

/** Whether a root request is refused. */
export function isRootRefused(request: RootRequest): boolean {
  return request.draw < computeRefusedShare(request);
}

/** Each unit of the pressure is one rank, the least urgent the first. */
export function computeRefusedShare(
  { rank, lastRank, pressure }: Omit<RootRequest, "draw">,
): number {
  const before = lastRank - Math.min(rank, lastRank);
  const part = pressure - before;
  return Math.max(0, Math.min(1, part)) * MAX_REFUSED_SHARE;
}
