/**
 * Adjusts the admission level to the load, after DAGOR (Zhou et al., Overload
 * Control for Scaling WeChat Microservices, SoCC 2018). Requests are counted
 * by importance in short windows. An overloaded window raises the level by the
 * share of requests to shed; a window without overload lowers it.
 */
import {
  type AdmissionLevel,
  createLevel,
  MAX_IMPORTANCE,
} from "./admission_level.ts";

/** The current level, and the counts of the current window. */
export interface LevelControl {
  /**
   * The level as a position from 0 (none) to 10: importance in the integer
   * part, share of the hash range in the fraction.
   */
  readonly position: number;
  /** Number of consecutive windows without overload. */
  readonly calmWindows: number;
  /** Arrivals in the window at or above the level, by importance. */
  readonly arrivals: readonly number[];
  /** Requests refused in the window for lack of capacity. */
  readonly refused: number;
  /** Highest importance among the refused requests. */
  readonly maxRefusedImportance: number;
  /** Smoothed share of the arrivals that were refused, 0 to 1. */
  readonly pressure: number;
}

const NO_ARRIVALS: readonly number[] = Array(MAX_IMPORTANCE + 1).fill(0);

/** State without a level or any counts. */
export const INITIAL_LEVEL_CONTROL: LevelControl = {
  position: 0,
  calmWindows: 0,
  arrivals: NO_ARRIVALS,
  refused: 0,
  maxRefusedImportance: 0,
  pressure: 0,
};

/** Admits a tenth of the most important requests, however high the load. */
const MAX_POSITION = MAX_IMPORTANCE + 0.9;
/** Part of the excess that one window sheds, as the effect is delayed. */
const SHED_GAIN = 0.3;
const MIN_SHED_SHARE = 0.01;
const MAX_SHED_SHARE = 0.3;
/** First decrease of the position; doubles in each consecutive calm window. */
const INITIAL_DECREASE = 0.02;
/** Weight of a window in the smoothed pressure. */
const PRESSURE_GAIN = 0.2;

/** Counts an arrival at or above the level. */
export function recordArrival(
  control: LevelControl,
  importance: number,
): LevelControl {
  const count = control.arrivals[importance]! + 1;
  const arrivals = control.arrivals.with(importance, count);
  return { ...control, arrivals };
}

/** Counts a request that was refused for lack of capacity. */
export function recordOverload(
  control: LevelControl,
  importance: number,
): LevelControl {
  const maxRefusedImportance = Math.max(
    control.maxRefusedImportance,
    importance,
  );
  return {
    ...control,
    refused: control.refused + 1,
    maxRefusedImportance,
  };
}

/**
 * Ends a window and adjusts the level. Refusals raise it only if the queue was
 * not empty throughout the window (`hasStandingQueue`); otherwise they are due
 * to a burst.
 */
export function updateLevel(
  control: LevelControl,
  hasStandingQueue: boolean,
): LevelControl {
  const total = control.arrivals.reduce((sum, count) => sum + count, 0);
  const share = Math.min(1, control.refused / Math.max(1, total));
  const pressure = control.pressure +
    PRESSURE_GAIN * (share - control.pressure);
  const window = { ...INITIAL_LEVEL_CONTROL, pressure };
  if (control.refused > 0 && hasStandingQueue) {
    const shedShare = Math.min(
      MAX_SHED_SHARE,
      Math.max(MIN_SHED_SHARE, SHED_GAIN * share),
    );
    return {
      ...window,
      position: raisePosition(control, shedShare * total),
      calmWindows: 0,
    };
  }
  const calmWindows = control.calmWindows + 1;
  const position = Math.max(
    0,
    control.position - INITIAL_DECREASE * 2 ** control.calmWindows,
  );
  return { ...window, position, calmWindows: position === 0 ? 0 : calmWindows };
}

/** Returns the level, or undefined if no request is to be refused early. */
export function getCurrentLevel(
  control: LevelControl,
): AdmissionLevel | undefined {
  return createLevel(control.position);
}

/**
 * Raises the position so that `count` requests of the window would be below
 * it. Hashes are uniform, so a share of an importance's requests is the same
 * share of its hash range. The position does not pass the importances that
 * were refused.
 */
function raisePosition(control: LevelControl, count: number): number {
  const maxPosition = Math.min(MAX_POSITION, control.maxRefusedImportance + 1);
  if (control.position >= maxPosition) {
    return control.position;
  }
  let position = control.position;
  let remaining = count;
  for (
    let importance = Math.floor(position);
    importance <= MAX_IMPORTANCE;
    importance += 1
  ) {
    const arrivals = control.arrivals[importance]!;
    if (arrivals >= remaining) {
      const fraction = arrivals === 0 ? 0 : remaining / arrivals;
      return Math.min(
        maxPosition,
        position + (importance + 1 - position) * fraction,
      );
    }
    remaining -= arrivals;
    position = importance + 1;
  }
  return maxPosition;
}
