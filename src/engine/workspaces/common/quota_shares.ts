/**
 * Computes the share of a workspace's requests that is admitted while its
 * demand exceeds its limit.
 *
 * Load pattern: from fractions of a request to tens of requests per second,
 * spread over hundreds of entry nodes, so that most entry nodes receive less
 * than one request per window. A fixed part of the limit for each entry node
 * would refuse most requests of a workspace that is far below its limit.
 * Instead, each entry node reports its received and admitted requests; the
 * control replicas add the reports up and answer with one share that all entry
 * nodes apply. Below the limit the share is 1, and nothing is refused.
 */
import type { Workspace } from "./workspace.ts";

/** How strictly the limits of workspaces are enforced. */
export interface QuotaTerms {
  /** Length of the sliding window to which a limit applies, in milliseconds. */
  readonly windowMs: number;
  /**
   * Requests that may be admitted beyond the limit, as a ratio of the limit.
   */
  readonly overage: number;
  /**
   * Requests per window that may be admitted beyond the limit and `overage`.
   */
  readonly slack: number;
}

/** Requests of a workspace at one entry node, or at several. */
export interface WorkspaceUsage {
  readonly name: string;
  /**
   * Requests received per window: the higher of the last window and the mean of
   * the last two, as a single window may be low by chance.
   */
  readonly asked: number;
  /** Requests received within the last `RECENT_SPAN_MS`. */
  readonly askedLately: number;
  /** Requests admitted within the window, whether or not they were run. */
  readonly passed: number;
  /** Requests admitted within the window, without those that were not run. */
  readonly letIn: number;
}

/** Share of a workspace's requests that each entry node admits, from 0 to 1. */
export type WorkspaceShare = readonly [name: string, share: number];

/** Span over which the current demand is measured. */
export const RECENT_SPAN_MS = 2_000;
/**
 * Recent demand up to this multiple of the target is attributed to chance while
 * the window itself is below the target.
 */
const CHANCE_DEMAND_RATIO = 1.4;
/**
 * Part of the allowance beyond the limit that is targeted; the rest absorbs the
 * delay of the reported counts.
 */
const TARGET_ALLOWANCE_RATIO = 0.2;
/**
 * Proportional gain by which the share is reduced in a window above its target.
 */
const OVERRUN_GAIN = 3;
/**
 * Proportional gain by which the share is raised in a window below its target.
 */
const UNDERRUN_GAIN = 0.1;
/**
 * Minimum of the estimated demand relative to `asked`: a quiet moment doesn't
 * lower the estimate further.
 */
const MIN_DEMAND_RATIO = 0.75;
/** Minimum part of the target that is admitted while the share is reduced. */
const MIN_TARGET_RATIO = 0.3;

/** Computes the limit of a window in requests; Infinity without a limit. */
export function computeWindowLimit(
  { ratePerSecond, burst }: Workspace,
  terms: QuotaTerms,
): number {
  return ratePerSecond === 0 && burst === 0
    ? Infinity
    : ratePerSecond * terms.windowMs / 1_000 + burst;
}

/**
 * Computes the share of a workspace from the summed usage of all entry nodes.
 */
export function computeShare(
  limit: number,
  usage: Omit<WorkspaceUsage, "name">,
  terms: QuotaTerms,
): number {
  const target = limit +
    TARGET_ALLOWANCE_RATIO * (terms.overage * limit + terms.slack);
  const { letIn } = usage;
  // Requests refused for another reason aren't run, and don't count as demand.
  const runRatio = usage.passed === 0 ? 1 : Math.min(1, letIn / usage.passed);
  const asked = usage.asked * runRatio;
  const recentPerWindow = usage.askedLately * runRatio * terms.windowMs /
    RECENT_SPAN_MS;
  if (
    asked <= target && recentPerWindow <= target * CHANCE_DEMAND_RATIO &&
    letIn <= target
  ) {
    return 1;
  }
  const utilization = letIn / target;
  const targetRatio = utilization > 1
    ? Math.max(MIN_TARGET_RATIO, 1 - OVERRUN_GAIN * (utilization - 1))
    : 1 + UNDERRUN_GAIN * (1 - utilization);
  const demand = Math.max(recentPerWindow, asked * MIN_DEMAND_RATIO);
  return Math.min(1, target * targetRatio / Math.max(1, demand));
}

/**
 * Adds up the usage reported by several entry nodes or replicas, by workspace.
 */
export function addUsages(
  lists: Iterable<readonly WorkspaceUsage[]>,
): ReadonlyMap<string, WorkspaceUsage> {
  const sums = new Map<string, WorkspaceUsage>();
  for (const list of lists) {
    for (const { name, asked, askedLately, passed, letIn } of list) {
      const sum = sums.get(name);
      sums.set(name, {
        name,
        asked: asked + (sum?.asked ?? 0),
        askedLately: askedLately + (sum?.askedLately ?? 0),
        passed: passed + (sum?.passed ?? 0),
        letIn: letIn + (sum?.letIn ?? 0),
      });
    }
  }
  return sums;
}

/** Lists the shares below 1, rounded to three decimals. */
export function listShares(
  workspaces: readonly Workspace[],
  usages: ReadonlyMap<string, WorkspaceUsage>,
  terms: QuotaTerms,
): readonly WorkspaceShare[] {
  return workspaces.flatMap((workspace) => {
    const usage = usages.get(workspace.name);
    const limit = computeWindowLimit(workspace, terms);
    if (usage === undefined || limit === Infinity) {
      return [];
    }
    const share = computeShare(limit, usage, terms);
    return share < 1
      ? [[workspace.name, Math.round(share * 1_000) / 1_000]]
      : [];
  });
}
