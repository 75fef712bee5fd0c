/**
 * Adaptive concurrency limit by the gradient of latency, the ratio of the
 * long-term to the recent one, after Netflix's concurrency-limits
 * (Gradient2Limit). Each answer is compared with the baseline of its own kind,
 * so kinds with a long service time do not count as a slowdown.
 */

/** The limit, and the answers since its last update. */
export interface ConcurrencyLimit {
  /** Requests that may run at a time; not rounded. */
  readonly value: number;
  /** Sum of the logarithms of the recorded slowdowns. */
  readonly slowdownSum: number;
  readonly slowdownCount: number;
  /** Steady clock in milliseconds. */
  readonly updatedAtMs: number;
}

/** Inputs of an update. */
export interface LimitInputs {
  /** Upper bound of the limit: the slots that the backend server announced. */
  readonly slots: number;
  /** Whether no request is running. */
  readonly isIdle: boolean;
  readonly nowMs: number;
}

/** Lower bound of the limit, or the announced slots if they are fewer. */
export const MIN_LIMIT = 2;
/** Ratio of latency to baseline up to which the gradient is 1. */
const LATENCY_TOLERANCE = 2;
const MIN_GRADIENT = 0.5;
const SMOOTHING_FACTOR = 0.5;
const MIN_WINDOW_MS = 100;
const MAX_WINDOW_MS = 1_000;
const MIN_WINDOW_SAMPLES = 4;

/** Creates the limit of a backend server that announced `slots`. */
export function createLimit(slots: number): ConcurrencyLimit {
  return { value: slots, slowdownSum: 0, slowdownCount: 0, updatedAtMs: 0 };
}

/**
 * Records one answer. `slowdown` is the ratio of its latency to the baseline of
 * its kind.
 */
export function recordSlowdown(
  limit: ConcurrencyLimit,
  slowdown: number,
): ConcurrencyLimit {
  return {
    ...limit,
    // The logarithm keeps a single long request from counting as a slowdown of
    // the backend server.
    slowdownSum: limit.slowdownSum + Math.log(slowdown),
    slowdownCount: limit.slowdownCount + 1,
  };
}

/**
 * Updates the limit once the window has enough samples or has lasted for long.
 * While the backend server is idle, the limit grows back without samples.
 */
export function updateLimit(
  limit: ConcurrencyLimit,
  inputs: LimitInputs,
): ConcurrencyLimit {
  const { nowMs, isIdle } = inputs;
  const ageMs = nowMs - limit.updatedAtMs;
  const hasEnoughSamples = limit.slowdownCount >= MIN_WINDOW_SAMPLES ||
    (limit.slowdownCount > 0 && ageMs >= MAX_WINDOW_MS);
  if (ageMs < MIN_WINDOW_MS || !(hasEnoughSamples || isIdle)) {
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
  const minimum = Math.min(MIN_LIMIT, inputs.slots);
  return Math.min(inputs.slots, Math.max(minimum, next));
}
