/**
 * Admission of root requests at their entry node. A root request is one that no
 * backend server made. While a service on its call path is under pressure, a
 * share of these requests is refused, the least urgent first: otherwise work
 * would be started that fails midway.
 */

/** Largest share of a rank that is refused before more urgent ranks are. */
const MAX_REFUSED_SHARE = 0.85;
/**
 * Lower bound of the admission ratio of a rank, relative to the ratio over all
 * ranks. No kind of request is starved, although some of the admitted requests
 * fail midway.
 */
const MIN_RELATIVE_ADMISSION = 0.4;
/** A request's weight in the admission ratio halves in this time. */
const HALF_LIFE_MS = 5_000;
/**
 * Part of the pressure range in which only the least urgent rank is refused.
 */
const LAST_RANK_BAND = 0.7;

/** Inputs of the decision on one root request. */
export interface RootRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The least urgent rank of the routes in force. */
  readonly lastRank: number;
  /** Highest pressure on the call path, 0 to 1. */
  readonly pressure: number;
  /** Share of all recent requests that this node admitted, 0 to 1. */
  readonly admittedShare: number;
  /** Random number from 0 to 1, the same for repeats of a request. */
  readonly draw: number;
}

/** Whether a root request is refused. */
export function isRootRefused(request: RootRequest): boolean {
  return request.draw < computeRefusedShare(request);
}

/**
 * Computes the share of a rank's requests that is refused. The lower part of
 * the pressure range applies to the least urgent rank only, so that
 * oscillations of the pressure don't affect the others. These divide the rest
 * of the range, one band for each rank.
 */
export function computeRefusedShare(
  { rank, lastRank, pressure, admittedShare }: Omit<RootRequest, "draw">,
): number {
  const otherRanks = lastRank;
  const lastBand = otherRanks === 0 ? 1 : LAST_RANK_BAND;
  const band = rank >= lastRank ? lastBand : (1 - lastBand) / otherRanks;
  const start = rank >= lastRank ? 0 : lastBand + band * (lastRank - rank - 1);
  const part = (pressure - start) / band;
  const share = Math.max(0, Math.min(1, part)) * MAX_REFUSED_SHARE;
  return Math.min(share, 1 - MIN_RELATIVE_ADMISSION * admittedShare);
}

/** Tracks the share of requests of all ranks that one node admits. */
export class AdmittedShare {
  /** Counts of requests decay exponentially. */
  #requested = 0;
  #admitted = 0;
  #updatedAtMs = 0;

  /** Share from 0 to 1; 1 before the first request. */
  get value(): number {
    return this.#requested === 0 ? 1 : this.#admitted / this.#requested;
  }

  /** Records the decision on a request. */
  record(isAdmitted: boolean, nowMs: number): void {
    const decay = 0.5 ** ((nowMs - this.#updatedAtMs) / HALF_LIFE_MS);
    this.#requested = this.#requested * decay + 1;
    this.#admitted = this.#admitted * decay + (isAdmitted ? 1 : 0);
    this.#updatedAtMs = nowMs;
  }
}
