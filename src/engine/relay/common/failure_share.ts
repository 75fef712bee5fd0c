/**
 * Smoothed share of the calls to a backend server that it fails, by what it
 * answered last.
 *
 * Load pattern: calls avoid a backend server that fails them, so that only a few
 * probes tell when it no longer does. With a weight for each sample that doesn't
 * depend on time, the share would follow the slower the fewer calls there are.
 */
import { computeSampleGain } from "../../../base/common/sample_gain.ts";

/** State of the estimate; updated in place. */
export interface FailureShare {
  /** Share at the time of the last sample, 0 to 1. */
  share: number;
  sampledAtMs: number;
}

const SHARE_GAIN = { min: 0.05, max: 0.25, timeConstantMs: 2_500 };
/**
 * The share halves in this time without a sample. Only that ends it where no
 * call may be risked as a probe; the next calls raise it again if need be.
 */
const HALF_LIFE_MS = 5_000;

/** Creates the estimate of a backend server without samples. */
export function createFailureShare(): FailureShare {
  return { share: 0, sampledAtMs: 0 };
}

/** Records whether the backend server failed a call. */
export function recordOutcome(
  state: FailureShare,
  isFailure: boolean,
  nowMs: number,
): void {
  const gain = computeSampleGain(nowMs - state.sampledAtMs, SHARE_GAIN);
  const share = computeFailureShare(state, nowMs);
  state.share = share + (Number(isFailure) - share) * gain;
  state.sampledAtMs = nowMs;
}

/** Computes the share at a time after the last sample. */
export function computeFailureShare(
  { share, sampledAtMs }: FailureShare,
  nowMs: number,
): number {
  return share === 0
    ? 0
    : share * 0.5 ** ((nowMs - sampledAtMs) / HALF_LIFE_MS);
}
