/** Slow start of a cold backend server, or of one that has come back. */

/** Where the ramp stands. */
export interface Ramp {
  /** Undefined before the first event. */
  readonly startedAtMs: number | undefined;
  /** Runs that failed one after the other. */
  readonly consecutiveFailures: number;
}

/** The ramp of a node that has just started. */
export const INITIAL_RAMP: Ramp = {
  startedAtMs: undefined,
  consecutiveFailures: 0,
};

/** Time from the start to all slots. */
export const RAMP_MS = 5_000;
const INITIAL_SHARE = 0.1;
/** Failures in a row after which the backend server counts as down. */
export const DOWN_FAILURES = 5;

/** Begins the ramp at the first event. */
export function startRamp(ramp: Ramp, nowMs: number): Ramp {
  return ramp.startedAtMs === undefined
    ? { ...ramp, startedAtMs: nowMs }
    : ramp;
}

/** Takes in a run; the first answer after an outage begins a new ramp. */
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

/** Computes how many of `slots` the ramp leaves at `nowMs`. */
export function computeRampSlots(
  ramp: Ramp,
  slots: number,
  nowMs: number,
): number {
  const ageMs = nowMs - (ramp.startedAtMs ?? nowMs);
  const grown = INITIAL_SHARE + (1 - INITIAL_SHARE) * (ageMs / RAMP_MS);
  return slots * Math.min(1, Math.max(INITIAL_SHARE, grown));
}
