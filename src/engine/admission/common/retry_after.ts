/** Delay before a refused caller should retry. */
import { hashText } from "../../../base/common/hash.ts";

const MIN_DELAY_MS = 1_000;
const MIN_SPREAD_MS = 2_000;
const MAX_SPREAD_MS = 8_000;
const HASH_RANGE = 2 ** 32;

/**
 * Computes the delay in milliseconds. It is spread by the hash of `id`, so that
 * callers refused together do not retry together. `pressure` (0 to 1) widens
 * the spread; `waitMs` raises the minimum delay.
 */
export function computeRetryAfter(
  id: string,
  pressure: number,
  waitMs = 0,
): number {
  const fraction = hashText(id) / HASH_RANGE;
  const load = Math.min(1, Math.max(0, pressure));
  const spreadMs = MIN_SPREAD_MS + load * (MAX_SPREAD_MS - MIN_SPREAD_MS);
  return Math.round(Math.max(MIN_DELAY_MS, waitMs) + fraction * spreadMs);
}
