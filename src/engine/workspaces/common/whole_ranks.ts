/** Converts ranks of any size to the whole numbers that the engine computes with. */

/** Products and differences of whole ranks up to this one are exact. */
export const MAX_WHOLE_RANK = 1_000_000;

/**
 * Creates the conversion of the given ranks. Whole numbers stay as they are; if
 * one of the ranks is a fraction or above `MAX_WHOLE_RANK`, the place of each in
 * their order takes its place, from 0 on.
 */
export function createWholeRanks(
  ranks: readonly number[],
): (rank: number) => number {
  if (ranks.every(isWholeRank)) {
    return (rank) => rank;
  }
  const order = [...new Set(ranks)].sort((a, b) => a - b);
  const places = new Map(order.map((rank, place) => [rank, place]));
  return (rank) => places.get(rank)!;
}

function isWholeRank(rank: number): boolean {
  return Number.isInteger(rank) && rank <= MAX_WHOLE_RANK;
}
