/**
 * How many requests run at a time, by the gradient of latency: the long-term
 * over the recent one, after Netflix's concurrency-limits (Gradient2Limit).
 * Each answer is measured against the baseline of its own kind, so kinds that
 * are long by nature don't count as a slowdown.
 */

/** The limit and the answers since it was last moved. */
export interface ConcurrencyLimit {
  readonly value: number;
  readonly slowdownSum: number;
  readonly slowdownCount: number;
  readonly updatedAtMs: number;
}

/** What the next limit is computed from. */
export interface LimitInputs {
  readonly slots: number;
  /** Whether nothing runs. */
  readonly isIdle: boolean;
  readonly nowMs: number;
}

/** Lowest limit, where the backend server announced as many slots. */
export const MIN_LIMIT = 2;
/** Recent latency may be this many times the baseline. */
const LATENCY_TOLERANCE = 2;
const MIN_GRADIENT = 0.5;
const SMOOTHING_FACTOR = 0.5;
const MIN_WINDOW_MS = 100;
const MAX_WINDOW_MS = 1_000;
const MIN_WINDOW_SAMPLES = 4;

/** Creates the limit of a backend server with `slots`. */
export function createLimit(slots: number): ConcurrencyLimit {
  return { value: slots, slowdownSum: 0, slowdownCount: 0, updatedAtMs: 0 };
}

/** Takes in how many times its baseline one answer took. */
export function recordSlowdown(
  limit: ConcurrencyLimit,
  slowdown: number,
): ConcurrencyLimit {
  return {
    ...limit,
    // Logarithms, so that one long request is no slowdown of the server.
    slowdownSum: limit.slowdownSum + Math.log(slowdown),
    slowdownCount: limit.slowdownCount + 1,
  };
}

/** Moves the limit once a window is full; it grows back while idle. */
export function updateLimit(
  limit: ConcurrencyLimit,
  inputs: LimitInputs,
): ConcurrencyLimit {
  const { nowMs, isIdle } = inputs;
  const ageMs = nowMs - limit.updatedAtMs;
  const isFull = limit.slowdownCount >= MIN_WINDOW_SAMPLES ||
    (limit.slowdownCount > 0 && ageMs >= MAX_WINDOW_MS);
  if (ageMs < MIN_WINDOW_MS || !(isFull || isIdle)) {
    return limit;
  }
  return {
    value: computeLimit(limit, inputs),
    slowdownSum: 0,
    slowdownCount: 0,
    updatedAtMs: nowMs,
  };
}

function computeLimit(limit: ConcurrencyLimit, inputs: LimitInputs): number {
  const { value, slowdownSum, slowdownCount } = limit;
  const slowdown = Math.exp(slowdownSum / Math.max(1, slowdownCount));
  const gradient = Math.min(
    1,
    Math.max(MIN_GRADIENT, LATENCY_TOLERANCE / slowdown),
  );
  const target = value * gradient + Math.sqrt(value);
  const next = target > value
    ? target
    : value + SMOOTHING_FACTOR * (target - value);
  const floor = Math.min(MIN_LIMIT, inputs.slots);
  return Math.min(inputs.slots, Math.max(floor, next));
}
