/** A clock that steps of the wall clock don't move. */
import { performance } from "node:perf_hooks";

/**
 * Reads the wall clock as of the start of the process plus the time that has
 * passed since, in whole milliseconds: deadlines, windows and the age of what
 * is remembered stay right when the wall clock is set.
 */
export function readSteadyMs(): number {
  return Math.floor(performance.timeOrigin + performance.now());
}

/**
 * Reads the steady clock and the wall clock together: the one stands still
 * while the VM is suspended, the other may be stepped.
 */
export function readBothClocks() {
  return { steadyMs: readSteadyMs(), wallMs: Date.now() };
}
