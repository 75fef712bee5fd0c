/**
 * Moves the admission level with the load, after DAGOR (Zhou et al., Overload
 * Control for Scaling WeChat Microservices, SoCC 2018): requests are counted
 * by importance in short windows; an overloaded window raises the level by as
 * much as must go, a calm one lowers it.
 */
import {
  type AdmissionLevel,
  createLevel,
  MAX_IMPORTANCE,
} from "./admission_level.ts";

/** The level on a scale from 0 (none) to 10, and the present window. */
export interface LevelControl {
  /** Importance in the whole part, share of the hashes in the rest. */
  readonly position: number;
  /** Calm windows in a row. */
  readonly calmWindows: number;
  /** Arrivals of the window at or over the level, by importance. */
  readonly arrivals: readonly number[];
  /** Refusals of the window for want of capacity. */
  readonly refused: number;
  /** Highest importance among them. */
  readonly maxRefusedImportance: number;
  /** Share that the last windows refused, 0 to 1. */
  readonly pressure: number;
}

const NO_ARRIVALS: readonly number[] = Array(MAX_IMPORTANCE + 1).fill(0);

/** No level, nothing counted. */
export const INITIAL_LEVEL_CONTROL: LevelControl = {
  position: 0,
  calmWindows: 0,
  arrivals: NO_ARRIVALS,
  refused: 0,
  maxRefusedImportance: 0,
  pressure: 0,
};

/** Some of the most important always pass, however high the load. */
const MAX_POSITION = MAX_IMPORTANCE + 0.9;
/** Part of the excess cut at a time, as its effect shows only later. */
const SHED_GAIN = 0.3;
const MIN_SHED_SHARE = 0.01;
const MAX_SHED_SHARE = 0.3;
/** First step down; it doubles with each calm window. */
const INITIAL_DECREASE = 0.02;
const PRESSURE_GAIN = 0.2;

/** Counts an arrival. */
export function recordArrival(
  control: LevelControl,
  importance: number,
): LevelControl {
  const count = control.arrivals[importance]! + 1;
  const arrivals = control.arrivals.with(importance, count);
  return { ...control, arrivals };
}

/** Counts a request refused for want of capacity. */
export function recordOverload(
  control: LevelControl,
  importance: number,
): LevelControl {
  const refusedTop = Math.max(control.maxRefusedImportance, importance);
  return {
    ...control,
    refused: control.refused + 1,
    maxRefusedImportance: refusedTop,
  };
}

/**
 * Ends a window and moves the level. Only a queue that stood through it
 * (`isStanding`) tells overload from a burst.
 */
export function updateLevel(
  control: LevelControl,
  isStanding: boolean,
): LevelControl {
  const total = control.arrivals.reduce((sum, count) => sum + count, 0);
  const share = Math.min(1, control.refused / Math.max(1, total));
  const pressure = control.pressure +
    PRESSURE_GAIN * (share - control.pressure);
  const window = { ...INITIAL_LEVEL_CONTROL, pressure };
  if (control.refused > 0 && isStanding) {
    const cut = Math.min(
      MAX_SHED_SHARE,
      Math.max(MIN_SHED_SHARE, SHED_GAIN * share),
    );
    return {
      ...window,
      position: raisePosition(control, cut * total),
      calmWindows: 0,
    };
  }
  const calm = control.calmWindows + 1;
  const place = Math.max(
    0,
    control.position - INITIAL_DECREASE * 2 ** control.calmWindows,
  );
  return { ...window, position: place, calmWindows: place === 0 ? 0 : calm };
}

/** Reads the level; undefined where nothing is to be refused early. */
export function getCurrentLevel(
  control: LevelControl,
): AdmissionLevel | undefined {
  return createLevel(control.position);
}

/**
 * Hashes are uniform, so a share of an importance is a share of its range.
 * Nothing over the importances that were refused is cut.
 */
function raisePosition(control: LevelControl, cut: number): number {
  const highest = Math.min(MAX_POSITION, control.maxRefusedImportance + 1);
  if (control.position >= highest) {
    return control.position;
  }
  let place = control.position;
  let left = cut;
  for (let i = Math.floor(place); i <= MAX_IMPORTANCE; i += 1) {
    const count = control.arrivals[i]!;
    if (count >= left) {
      const part = count === 0 ? 0 : left / count;
      return Math.min(highest, place + (i + 1 - place) * part);
    }
    left -= count;
    place = i + 1;
  }
  return highest;
}
