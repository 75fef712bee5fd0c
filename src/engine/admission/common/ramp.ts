/** Slow start of a cold backend server, or of one that was down. */

/** State of the ramp. */
export interface Ramp {
  /** Steady clock in milliseconds; undefined before the first event. */
  readonly startedAtMs: number | undefined;
  /** Number of consecutive failed runs. */
  readonly consecutiveFailures: number;
}

/** State of the ramp when the node starts. */
export const INITIAL_RAMP: Ramp = {
  startedAtMs: undefined,
  consecutiveFailures: 0,
};

/** Time from the start of the ramp until all slots are available. */
export const RAMP_MS = 5_000;
/** Share of the slots that is available when the ramp starts. */
const INITIAL_SHARE = 0.1;
/** Consecutive failures after which the backend server counts as down. */
export const DOWN_FAILURES = 5;

/** Starts the ramp at the first event. */
export function startRamp(ramp: Ramp, nowMs: number): Ramp {
  return ramp.startedAtMs === undefined
    ? { ...ramp, startedAtMs: nowMs }
    : ramp;
}

/** Records a run; the first answer after an outage restarts the ramp. */
export function recordRunResult(
  ramp: Ramp,
  isAnswered: boolean,
  nowMs: number,
): Ramp {
  if (!isAnswered) {
    return { ...ramp, consecutiveFailures: ramp.consecutiveFailures + 1 };
  }
  const wasDown = ramp.consecutiveFailures >= DOWN_FAILURES;
  return {
    startedAtMs: wasDown ? nowMs : ramp.startedAtMs,
    consecutiveFailures: 0,
  };
}

/** Computes how many of `slots` are available at `nowMs`; not rounded. */
export function computeRampSlots(
  ramp: Ramp,
  slots: number,
  nowMs: number,
): number {
  const ageMs = nowMs - (ramp.startedAtMs ?? nowMs);
  const share = INITIAL_SHARE + (1 - INITIAL_SHARE) * (ageMs / RAMP_MS);
  return slots * Math.min(1, Math.max(INITIAL_SHARE, share));
}
