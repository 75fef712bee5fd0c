/**
 * Token bucket that bounds the rate of requests to one backend server. The
 * functions change the bucket in place.
 *
 * It starts empty: a gate that was restarted, or has just learnt of a limit,
 * may have handed over the burst before.
 */

/** State of a bucket. */
export interface TokenBucket {
  /** Requests a second that the backend server takes. */
  requestsPerSecond: number;
  tokens: number;
  /** When `tokens` was computed, in milliseconds. */
  updatedAtMs: number;
  /** Ids of the calls in progress that hold a token of this bucket. */
  readonly holders: Set<number>;
}

/** Tokens that gather while nothing is sent, in seconds of the rate. */
const BURST_S = 0.5;
/**
 * Lowest rate of tokens. Only answers can raise or lift a limit, so that some
 * requests are sent even to a backend server that takes none.
 */
const MIN_TOKENS_PER_SECOND = 0.5;

/** Creates an empty bucket. */
export function createTokenBucket(
  requestsPerSecond: number,
  nowMs: number,
): TokenBucket {
  return {
    requestsPerSecond,
    tokens: 0,
    updatedAtMs: nowMs,
    holders: new Set(),
  };
}

/** Changes the rate; tokens beyond the new burst are lost. */
export function changeRate(
  bucket: TokenBucket,
  requestsPerSecond: number,
  nowMs: number,
): void {
  updateTokens(bucket, nowMs);
  bucket.requestsPerSecond = requestsPerSecond;
  bucket.tokens = Math.min(bucket.tokens, computeBurst(bucket));
}

/** Takes a token for a call; false if there is none. */
export function tryTakeToken(
  bucket: TokenBucket,
  id: number,
  nowMs: number,
): boolean {
  updateTokens(bucket, nowMs);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  bucket.holders.add(id);
  return true;
}

/** Ends a call; puts back its token if no byte of it was sent. */
export function settleToken(
  bucket: TokenBucket,
  { id, wasSent }: { readonly id: number; readonly wasSent: boolean },
  nowMs: number,
): void {
  if (bucket.holders.delete(id) && !wasSent) {
    updateTokens(bucket, nowMs);
    bucket.tokens = Math.min(computeBurst(bucket), bucket.tokens + 1);
  }
}

/**
 * Estimates how long a request waits for its token, in milliseconds, behind
 * `aheadCount` others.
 */
export function estimateTokenWaitMs(
  bucket: TokenBucket,
  aheadCount: number,
  nowMs: number,
): number {
  updateTokens(bucket, nowMs);
  const missing = aheadCount + 1 - bucket.tokens;
  return Math.max(0, missing * 1_000 / computeTokenRate(bucket));
}

/** Computes how many tokens are added per second. */
export function computeTokenRate({ requestsPerSecond }: TokenBucket): number {
  return Math.max(MIN_TOKENS_PER_SECOND, requestsPerSecond);
}

function updateTokens(bucket: TokenBucket, nowMs: number): void {
  const elapsedS = Math.max(0, nowMs - bucket.updatedAtMs) / 1_000;
  bucket.tokens = Math.min(
    computeBurst(bucket),
    bucket.tokens + elapsedS * computeTokenRate(bucket),
  );
  bucket.updatedAtMs = nowMs;
}

function computeBurst(bucket: TokenBucket): number {
  return Math.max(1, computeTokenRate(bucket) * BURST_S);
}
