/** Rate limit of one kind of request, by GCRA (ITU-T I.371). */

/** Burst tolerance: the requests that the rate gives in this time. */
const BURST_MS = 250;

/**
 * Whether a request conforms to the rate limit. If so, the theoretical arrival
 * time of the next one; otherwise, the time until a request would conform.
 */
export type RateCheck =
  | { readonly type: "Conforms"; readonly theoreticalMs: number }
  | { readonly type: "Exceeds"; readonly waitMs: number };

/** Checks one request against a limit of `rate` requests per second. */
export function checkRate(
  theoreticalMs: number,
  rate: number,
  nowMs: number,
): RateCheck {
  const intervalMs = 1_000 / rate;
  const toleranceMs = Math.max(0, BURST_MS - intervalMs);
  const earlyMs = theoreticalMs - toleranceMs - nowMs;
  return earlyMs > 0 ? { type: "Exceeds", waitMs: earlyMs } : {
    type: "Conforms",
    theoreticalMs: Math.max(theoreticalMs, nowMs) + intervalMs,
  };
}
