/** Retry tokens: what one root request may spend over its whole call tree. */

/** The tokens that one attempt of a call holds, on the node that serves it. */
export interface TokenPool {
  readonly left: number;
}

/** Tokens handed to a child call, and the pool that is left. */
export interface TokenShare {
  readonly pool: TokenPool;
  readonly share: number;
}

/**
 * Takes the share of a child call: half, rounded up. Tokens that a child
 * doesn't give back count as spent, so a tree never spends more than its root
 * was given, whatever its depth and fan-out.
 */
export function takeShare(pool: TokenPool): TokenShare {
  const share = Math.ceil(pool.left / 2);
  return { share, pool: { left: pool.left - share } };
}

/** Gives back what a child call did not use; never more than it was given. */
export function returnShare(
  pool: TokenPool,
  given: number,
  returned: number,
): TokenPool {
  return { left: pool.left + Math.min(given, Math.max(0, returned)) };
}
