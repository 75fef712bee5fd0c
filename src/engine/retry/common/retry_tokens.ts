/**
 * Retry tokens: what one root request may spend over its whole call tree.
 *
 * With T tokens at the root, the attempts of all calls of the tree beyond the
 * first one of each number at most T: `retries(tree) <= T`, for any depth,
 * fan-out, loss of answers or repetition of calls. Why: a token is in exactly
 * one place, a pool, a share on its way, or spent. A retry spends one of the
 * call's own pool. A share leaves the pool when it is handed out; it comes
 * back once, in the one answer that is taken, and then the child's pool is
 * empty. A share whose answer is lost never comes back. A call whose parent is
 * not known here starts with none.
 */

/** The tokens that one attempt of a call holds, on the node that serves it. */
export interface TokenPool {
  readonly left: number;
}

/** Tokens handed to a child call, and the pool that is left. */
export interface TokenShare {
  readonly pool: TokenPool;
  readonly share: number;
}

/** A pool that has nothing to give. */
export const EMPTY_POOL: TokenPool = { left: 0 };

/** Takes the share of a child call: half, rounded up. */
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
