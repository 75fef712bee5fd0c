/** Rate limit of one kind by GCRA (ITU-T I.371, virtual scheduling). */

/** Requests that would come in this time may come at once. */
const BURST_MS = 250;

/** Whether a request conforms, and the theoretical arrival time after it. */
export type RateCheck =
  | { readonly type: "Conforms"; readonly theoreticalMs: number }
  | { readonly type: "Exceeds"; readonly waitMs: number };

/** Checks one request against `rate` a second. */
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
