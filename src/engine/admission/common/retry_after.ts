/** When a refused caller should come back. */
import { hashText } from "../../../base/common/hash.ts";

const MIN_DELAY_MS = 1_000;
const MIN_SPREAD_MS = 2_000;
const MAX_SPREAD_MS = 8_000;
const HASH_RANGE = 2 ** 32;

/**
 * Computes a time spread by the hash of `id`, so that callers that were
 * refused together don't return together. `pressure` from 0 to 1 widens it.
 */
export function computeRetryAfter(
  id: string,
  pressure: number,
  waitMs = 0,
): number {
  const part = hashText(id) / HASH_RANGE;
  const load = Math.min(1, Math.max(0, pressure));
  const spreadMs = MIN_SPREAD_MS + load * (MAX_SPREAD_MS - MIN_SPREAD_MS);
  return Math.round(Math.max(MIN_DELAY_MS, waitMs) + part * spreadMs);
}
