/** Service time of one kind: what to expect, and its long-term baseline. */

/** Times of one kind, from the start of a run to the head of its answer. */
export interface ServiceTime {
  /** Moving average in milliseconds; undefined before the first answer. */
  readonly expectedMs: number | undefined;
  /** Long-term mean of the logarithm; undefined until it is known. */
  readonly baselineLog: number | undefined;
  readonly sampleSum: number;
  readonly sampleCount: number;
  readonly updatedAtMs: number;
}

/** Nothing is known of a kind yet. */
export const UNKNOWN_SERVICE_TIME: ServiceTime = {
  expectedMs: undefined,
  baselineLog: undefined,
  sampleSum: 0,
  sampleCount: 0,
  updatedAtMs: 0,
};

/** Answers that make up one update of the baseline. */
export const BASELINE_SAMPLES = 8;
/** The baseline rises slowly, so that a slowdown isn't taken for normal. */
const BASELINE_RISE_MS = 30_000;
const BASELINE_FALL_MS = 5_000;
const EXPECTED_RISE_GAIN = 0.1;
/** Falls faster: too high an estimate refuses what could be served. */
const EXPECTED_FALL_GAIN = 0.3;
const MIN_LATENCY_MS = 1;
/** Below this, a difference may be the delay of this process alone. */
const MIN_BASELINE_MS = 5;

/** How long an answer took, in milliseconds. */
export interface AnswerTime {
  readonly latencyMs: number;
  /** Without the time in which the backend server waited for its own calls. */
  readonly ownMs: number;
}

/** Takes in one answer: the latency is expected, its own part the baseline. */
export function recordLatency(
  time: ServiceTime,
  answer: AnswerTime,
  nowMs: number,
): ServiceTime {
  const ms = Math.max(MIN_LATENCY_MS, answer.latencyMs);
  const old = time.expectedMs ?? ms;
  const gain = ms > old ? EXPECTED_RISE_GAIN : EXPECTED_FALL_GAIN;
  return updateBaseline({
    ...time,
    expectedMs: old + gain * (ms - old),
    sampleSum: time.sampleSum +
      Math.log(Math.max(MIN_BASELINE_MS, answer.ownMs)),
    sampleCount: time.sampleCount + 1,
  }, nowMs);
}

/** Computes how many times its baseline a latency is; undefined: unknown. */
export function computeSlowdown(
  time: ServiceTime,
  latencyMs: number,
): number | undefined {
  return time.baselineLog === undefined
    ? undefined
    : Math.max(MIN_BASELINE_MS, latencyMs) / Math.exp(time.baselineLog);
}

function updateBaseline(time: ServiceTime, nowMs: number): ServiceTime {
  if (time.sampleCount < BASELINE_SAMPLES) {
    return time;
  }
  const mean = time.sampleSum / time.sampleCount;
  const old = time.baselineLog ?? mean;
  const spanMs = mean > old ? BASELINE_RISE_MS : BASELINE_FALL_MS;
  const gain = 1 - Math.exp((time.updatedAtMs - nowMs) / spanMs);
  return {
    ...time,
    baselineLog: old + gain * (mean - old),
    sampleSum: 0,
    sampleCount: 0,
    updatedAtMs: nowMs,
  };
}
