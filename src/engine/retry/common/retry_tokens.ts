/**
 * Retry tokens bound the retries in the whole call tree of a root request.
 *
 * With T tokens at the root, all calls of the tree together make at most T
 * attempts beyond their first ones, `retries(tree) <= T`, for any depth,
 * fan-out, loss of answers or repetition of calls. The bound holds because each
 * token is in exactly one state: in a pool, in a share in transit, or spent. A
 * retry spends a token of the call's own pool. A share leaves the pool when it
 * is given to a child call. It returns at most once, with the one answer that
 * is accepted, after which the child's pool is empty. If that answer is lost,
 * the share is lost too. A call without a known parent starts with no tokens.
 */

/** Tokens of one attempt of a call, at the node that serves it. */
export interface TokenPool {
  /** Unspent tokens. */
  readonly left: number;
}

/** Tokens given to a child call, and the remaining pool. */
export interface TokenShare {
  readonly pool: TokenPool;
  readonly share: number;
}

/** A pool without tokens. */
export const EMPTY_POOL: TokenPool = { left: 0 };

/** Takes the share of a child call: half of the pool, rounded up. */
export function takeShare(pool: TokenPool): TokenShare {
  const share = Math.ceil(pool.left / 2);
  return { share, pool: { left: pool.left - share } };
}

/** Returns the tokens that a child call did not spend, at most its share. */
export function returnShare(
  pool: TokenPool,
  given: number,
  returned: number,
): TokenPool {
  return { left: pool.left + Math.min(given, Math.max(0, returned)) };
}
