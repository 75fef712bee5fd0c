/**
 * How much of the demand at one backend server is too much. A queue that does
 * not empty for a whole window shows overload (after CoDel, RFC 8289). What is
 * beyond the room is then cut from the roots that lead here, the least urgent
 * first, by the work that each rank asks for; room that is left is given back
 * the other way round.
 */

/** What is measured between two updates. */
export interface PressureState {
  /**
   * How far roots are refused: each whole unit stands for one more rank, from
   * the least urgent on, of which as much is refused as may be.
   */
  level: number;
  windowStartMs: number;
  /** Milliseconds of service that were asked for in the window, by rank. */
  asked: number[];
  /** Least wait of the oldest waiting request that the window has seen. */
  leastWaitMs: number;
}

/** Room as it is now. */
export interface PressureInputs {
  /** Requests that may run at a time. */
  readonly limit: number;
  /** How long the oldest waiting request has waited. */
  readonly oldestWaitMs: number;
  /** The least urgent rank of the table. */
  readonly lastRank: number;
  readonly nowMs: number;
}

/**
 * Most of one rank that is refused before the next more urgent one is touched:
 * no kind of request is starved.
 */
export const MAX_REFUSED_SHARE = 0.85;
/**
 * Between updates. What was begun before a change goes on to call for about as
 * long, so a change shows in the next window but one.
 */
const WINDOW_MS = 400;
/** A queue that always holds such a wait stands. */
const STANDING_MS = 12;
/** Part of the room that is filled under overload: waits grow steeply above. */
const TARGET = 0.95;
/**
 * Parts of the excess that are cut, and of the room that is given back, in one
 * window. With an effect that comes a window late, higher ones swing: at 1 the
 * queue fills and empties in turn every 5 s.
 */
const CUT_GAIN = 0.6;
const GROWTH_GAIN = 0.35;
/** Least cut while a queue stands, as a part of the demand. */
const MIN_CUT = 0.05;

/** Creates the state of a backend server that is not short of room. */
export function createPressure(nowMs: number): PressureState {
  return {
    level: 0,
    windowStartMs: nowMs,
    asked: [],
    leastWaitMs: Infinity,
  };
}

/** Counts a request that arrived. */
export function noteAsked(
  state: PressureState,
  rank: number,
  serviceMs: number,
): void {
  state.asked[rank] = (state.asked[rank] ?? 0) + serviceMs;
}

/** Notes the wait, and moves on where a window has ended. */
export function updatePressure(
  state: PressureState,
  { limit, oldestWaitMs, lastRank, nowMs }: PressureInputs,
): void {
  state.leastWaitMs = Math.min(state.leastWaitMs, oldestWaitMs);
  const lengthMs = nowMs - state.windowStartMs;
  if (lengthMs < WINDOW_MS) {
    return;
  }
  const askedMs = state.asked.reduce((sum, ms) => sum + (ms ?? 0), 0);
  const excessMs = askedMs - limit * lengthMs * TARGET;
  const demand = { asked: state.asked, lastRank };
  if (state.leastWaitMs >= STANDING_MS) {
    const cutMs = Math.max(excessMs * CUT_GAIN, askedMs * MIN_CUT);
    state.level = limitRoots(state.level, cutMs, demand);
  } else if (excessMs < 0) {
    state.level = releaseRoots(state.level, -excessMs * GROWTH_GAIN, demand);
  }
  state.asked = [];
  state.windowStartMs = nowMs;
  state.leastWaitMs = Infinity;
}

/** Work that arrived, by rank. */
interface Demand {
  readonly asked: readonly number[];
  readonly lastRank: number;
}

/** Raises the level until so much less work would be asked for. */
function limitRoots(level: number, cutMs: number, demand: Demand): number {
  const first = Math.floor(level);
  let leftMs = cutMs;
  for (let unit = first; unit <= demand.lastRank; unit += 1) {
    const part = unit === first ? level - first : 0;
    const refusableMs = computeRefusable(unit, part, demand);
    const restMs = refusableMs * (1 - part);
    if (restMs >= leftMs) {
      return unit + part + leftMs / refusableMs;
    }
    leftMs -= restMs;
  }
  return demand.lastRank + 1;
}

/** Lowers the level until so much more work would be asked for. */
function releaseRoots(level: number, roomMs: number, demand: Demand): number {
  const first = Math.ceil(level) - 1;
  let leftMs = roomMs;
  for (let unit = first; unit >= 0; unit -= 1) {
    const part = unit === first ? level - first : 1;
    const refusableMs = computeRefusable(unit, part, demand);
    const restMs = refusableMs * part;
    if (restMs > leftMs) {
      return unit + part - leftMs / refusableMs;
    }
    leftMs -= restMs;
  }
  return 0;
}

/**
 * Computes the work that a whole unit of the level refuses of one rank, where
 * `part` of the unit is refused already. Nothing is known of a rank that asked
 * for nothing.
 */
function computeRefusable(unit: number, part: number, demand: Demand): number {
  const askedMs = demand.asked[demand.lastRank - unit] ?? 0;
  return askedMs / (1 - part * MAX_REFUSED_SHARE) * MAX_REFUSED_SHARE;
}
