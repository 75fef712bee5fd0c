/**
 * Computes how many requests of a workspace one entry node admits within a
 * window while control replicas are silent.
 *
 * Each entry node scales its own usual usage up by the limit over the total
 * usage of all entry nodes, both as last known from control. The ceilings of
 * all entry nodes add up to the limit and a part of what is allowed beyond it,
 * whatever all of them receive at the same time.
 */
import type { QuotaTerms } from "./quota_shares.ts";

/** Usage of a workspace as smoothed while control replicas answered. */
export interface KnownUsage {
  /** Requests admitted per window at this entry node. */
  readonly own: number;
  /** Requests admitted per window at all entry nodes. */
  readonly total: number;
}

/**
 * Utilization that is assumed where control sent none. It was below
 * `MIN_SENT_UTILIZATION` of what that replica knew; the usage that other
 * replicas leave out of their digests, up to 0.15 of the limit, comes on top.
 */
export const ASSUMED_UTILIZATION = 0.5;
/**
 * Parts of the overage and of the slack that the ceilings of all entry nodes
 * together contain. The rest covers what entry nodes admitted above their usual
 * usage before control fell silent, ceilings rounded up by chance, and what is
 * admitted until the first shares take effect.
 */
const CEILING_OVERAGE_RATIO = 0.4;
const CEILING_SLACK_RATIO = 0.8;
/** Reports after the first request until which the window isn't full: 5 s. */
export const FILL_REPORTS = 10;
/**
 * Least weight of the newest figure in the smoothed usage, per report. With
 * 0.02 and two reports a second, clients that moved to another entry node are
 * accounted for to 63% after 25 s. With 0.05, 1.5% instead of 0.2% of usual
 * demand was refused at a control outage (100 requests a second, 51 entries).
 */
const SMOOTHING = 0.02;

/**
 * Advances the smoothed usage by one report, the `reports`th since this entry
 * node had its first request.
 * A workspace without known usage had no requests here until now.
 */
export function updateKnownUsage(
  known: KnownUsage | undefined,
  latest: KnownUsage,
  reports: number,
): KnownUsage {
  const { own, total } = known ?? { own: 0, total: latest.total };
  const weight = Math.max(SMOOTHING, 1 / Math.max(1, reports - FILL_REPORTS));
  return {
    own: own + weight * (latest.own - own),
    total: total + weight * (latest.total - total),
  };
}

/** Computes the ceiling in requests per window; it may be a fraction. */
export function computeCeiling(
  limit: number,
  known: KnownUsage | undefined,
  terms: QuotaTerms,
  entries: number,
): number {
  const { own, total } = known ?? { own: 0, total: 0 };
  const part = limit * own / Math.max(1, total);
  const allowance = CEILING_OVERAGE_RATIO * terms.overage * limit +
    CEILING_SLACK_RATIO * terms.slack;
  return part + allowance / Math.max(1, entries);
}
