/** What the platform's health and load endpoints hint at: they may mislead. */

/** What the endpoints of the local backend server last said. */
export interface HintReceived {
  readonly type: "HintReceived";
  /** Undefined: not asked, or no answer in time. */
  readonly isHealthy: boolean | undefined;
  /** Share of the backend server that is busy, from 0; undefined as above. */
  readonly load: number | undefined;
}

/** Load that is said of a full or an unhealthy backend server, per cent. */
export const MAX_LOAD_PERCENT = 100;
const LOAD_PATTERN = /^\d{1,3}$/;

/**
 * Computes the load hint, in whole per cent. "Unhealthy" counts as full and no
 * more: it decides ties between backend servers, and what the callers' nodes
 * see themselves decides all else.
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

/** Reads the hint of an answer's header; undefined where it says none. */
export function decodeLoadHint(text: string): number | undefined {
  const load = LOAD_PATTERN.test(text) ? Number(text) : MAX_LOAD_PERCENT + 1;
  return load <= MAX_LOAD_PERCENT ? load : undefined;
}
