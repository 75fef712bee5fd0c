/** Service time of one kind of request: expected value and baseline. */
import { computeSampleGain } from "../../../base/common/sample_gain.ts";

/** Times from the start of a run to the head of its answer, for one kind. */
export interface ServiceTime {
  /** Moving average in milliseconds; undefined before the first answer. */
  readonly expectedMs: number | undefined;
  /** Time of the last answer, steady clock in milliseconds. */
  readonly sampledAtMs: number;
  /**
   * Long-term mean of the logarithm of the time in milliseconds; undefined
   * until `BASELINE_SAMPLES` answers were recorded.
   */
  readonly baselineLog: number | undefined;
  /** Sum of the logarithms since the last update of the baseline. */
  readonly sampleSum: number;
  readonly sampleCount: number;
  /** When the baseline was last updated, steady clock in milliseconds. */
  readonly updatedAtMs: number;
}

/** State of a kind without any answers. */
export const UNKNOWN_SERVICE_TIME: ServiceTime = {
  expectedMs: undefined,
  sampledAtMs: 0,
  baselineLog: undefined,
  sampleSum: 0,
  sampleCount: 0,
  updatedAtMs: 0,
};

/** Number of answers per update of the baseline. */
export const BASELINE_SAMPLES = 8;
/** Time constant of a rise; long, so that slowdowns do not raise it quickly. */
const BASELINE_RISE_MS = 30_000;
/** Time constant of a fall. */
const BASELINE_FALL_MS = 5_000;
const EXPECTED_RISE_GAIN = { min: 0.1, max: 0.25, timeConstantMs: 2_500 };
/** Higher, as too high an estimate refuses requests that could be served. */
const EXPECTED_FALL_GAIN = { min: 0.3, max: 0.3, timeConstantMs: 2_500 };
const MIN_LATENCY_MS = 1;
/** Shorter times may differ by the delays of this process alone. */
const MIN_BASELINE_MS = 5;

/** Time of one answer, in milliseconds. */
export interface AnswerTime {
  readonly latencyMs: number;
  /** Latency less the time that the backend server waited for its own calls. */
  readonly ownMs: number;
}

/**
 * Records one answer. The whole latency updates the expected time, and the
 * backend server's own part of it the baseline.
 */
export function recordLatency(
  time: ServiceTime,
  answer: AnswerTime,
  nowMs: number,
): ServiceTime {
  const ms = Math.max(MIN_LATENCY_MS, answer.latencyMs);
  const old = time.expectedMs ?? ms;
  const gain = computeSampleGain(
    nowMs - time.sampledAtMs,
    ms > old ? EXPECTED_RISE_GAIN : EXPECTED_FALL_GAIN,
  );
  return updateBaseline({
    ...time,
    expectedMs: old + gain * (ms - old),
    sampledAtMs: nowMs,
    sampleSum: time.sampleSum +
      Math.log(Math.max(MIN_BASELINE_MS, answer.ownMs)),
    sampleCount: time.sampleCount + 1,
  }, nowMs);
}

/** Computes the ratio of a latency to the baseline; undefined without one. */
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
  const timeConstantMs = mean > old ? BASELINE_RISE_MS : BASELINE_FALL_MS;
  const gain = 1 - Math.exp((time.updatedAtMs - nowMs) / timeConstantMs);
  return {
    ...time,
    baselineLog: old + gain * (mean - old),
    sampleSum: 0,
    sampleCount: 0,
    updatedAtMs: nowMs,
  };
}
