/** Load hints from the platform's health and load endpoints; may be wrong. */

/** Latest result of polling the endpoints of the local backend server. */
export interface HintReceived {
  readonly type: "HintReceived";
  /** Undefined: not polled, or no answer within the time limit. */
  readonly isHealthy: boolean | undefined;
  /** Busy share of the backend server, 0 to 1; undefined as above. */
  readonly load: number | undefined;
}

/** Load of a full or unhealthy backend server, and the highest valid value. */
export const MAX_LOAD_PERCENT = 100;
const LOAD_PATTERN = /^\d{1,3}$/;

/**
 * Computes the load hint, in whole per cent. An unhealthy backend server is
 * reported as full and nothing more: hints only break ties between backend
 * servers, and all other decisions use what the calling nodes measure.
 */
export function computeLoadHint(hint: HintReceived): number | undefined {
  const { isHealthy, load } = hint;
  if (isHealthy === false) {
    return MAX_LOAD_PERCENT;
  }
  if (load === undefined || !(load >= 0)) {
    return undefined;
  }
  return Math.min(MAX_LOAD_PERCENT, Math.round(load * MAX_LOAD_PERCENT));
}

/** Decodes the load header of an answer; undefined if it is not valid. */
export function decodeLoadHint(text: string): number | undefined {
  const load = LOAD_PATTERN.test(text) ? Number(text) : MAX_LOAD_PERCENT + 1;
  return load <= MAX_LOAD_PERCENT ? load : undefined;
}
