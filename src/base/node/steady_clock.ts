/** A clock that adjustments of the wall clock don't affect. */
import { performance } from "node:perf_hooks";

/**
 * Returns the wall-clock time at which the process started plus the time
 * elapsed since, in whole milliseconds. Deadlines, time windows and the age of
 * stored entries stay correct when the wall clock is adjusted.
 */
export function readSteadyMs(): number {
  return Math.floor(performance.timeOrigin + performance.now());
}

/**
 * Reads the steady clock and the wall clock together. The steady clock stops
 * while the VM is suspended; the wall clock may be adjusted.
 */
export function readBothClocks() {
  return { steadyMs: readSteadyMs(), wallMs: Date.now() };
}
