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
  /**
   * Requests received within the last `RAPID_SPAN_MS` at entry nodes that saw
   * growth in it; absent where there was none. It counts for `RAPID_SPAN_MS`:
   * if it counted until the next regular report, requests that happen to make a
   * node report would be counted several times.
   */
  readonly askedNow?: number;
  /**
   * Requests of `letIn` that leave the window within the next second; absent in
   * reports of former versions.
   */
  readonly leavingSoon?: number;
}

/** Share of a workspace's requests that each entry node admits, from 0 to 1. */
export type WorkspaceShare = readonly [name: string, share: number];

/**
 * Requests admitted within the window relative to the limit, of a workspace at
 * `MIN_SENT_UTILIZATION` or above.
 */
export type WorkspaceUtilization = readonly [
  name: string,
  utilization: number,
];

/**
 * Lowest utilization that is sent to entry nodes. Most workspaces are far below
 * their limits; for these, entry nodes assume `ASSUMED_UTILIZATION`.
 */
export const MIN_SENT_UTILIZATION = 0.4;
/** Span over which a jump of the demand is measured. */
export const RAPID_SPAN_MS = 200;
/**
 * Time within which the room in a window may be filled. 2.5 times the 0.4 s
 * from a request to the share that accounts for it: with less, the window
 * overshoots.
 */
const FILL_SPAN_MS = 1_000;
/**
 * Standard deviations by which a count is lowered, so that chance isn't taken
 * for a jump.
 */
const CHANCE_DEVIATIONS = 1;
/**
 * Part of the slack that the room in a window contains. In trials of a burst of
 * 1.7, with 0.2, 0.8% was refused of a workspace of 12 a second below its limit,
 * with 0.4 0.3%, with 0.6 nothing.
 */
const ROOM_SLACK_RATIO = 0.5;
/** Minimum part of the target rate that is admitted in a window over it. */
const MIN_ROOM_RATIO = 0.1;
/** Span over which the current demand is measured. */
export const RECENT_SPAN_MS = 2_000;
/**
 * Recent demand up to this multiple of the target is attributed to chance while
 * the window itself is below the target. `asked` too, where the room in the
 * window is known: the sum over entries that get less than one request per
 * window is up to 1.5 times what was received.
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
  return Math.min(
    computeSettledShare(limit, usage, terms),
    computeRoomShare(limit, usage, terms),
  );
}

/**
 * Computes the share by the room in the window: what is admitted replaces what
 * leaves the window, and fills the room over some time. After a jump little
 * leaves the window until the requests of the jump do.
 */
function computeRoomShare(
  limit: number,
  usage: Omit<WorkspaceUsage, "name">,
  terms: QuotaTerms,
): number {
  const { askedNow = 0, askedLately, leavingSoon, letIn, passed } = usage;
  if (leavingSoon === undefined) {
    return 1;
  }
  const runRatio = passed === 0 ? 1 : Math.min(1, letIn / passed);
  const target = limit + TARGET_ALLOWANCE_RATIO * terms.overage * limit +
    ROOM_SLACK_RATIO * terms.slack;
  const minRate = MIN_ROOM_RATIO * target * 1_000 / terms.windowMs;
  const allowedRate = leavingSoon +
    (target - letIn) * 1_000 / FILL_SPAN_MS;
  const rate = runRatio * Math.max(
    estimateRate(askedNow, RAPID_SPAN_MS),
    estimateRate(askedLately, RECENT_SPAN_MS),
  );
  return Math.min(1, Math.max(minRate, allowedRate) / Math.max(1, rate));
}

/** Estimates requests per second from a count that may be high by chance. */
function estimateRate(count: number, spanMs: number): number {
  const certain = count - CHANCE_DEVIATIONS * Math.sqrt(count);
  return Math.max(0, certain) * 1_000 / spanMs;
}

function computeTarget(limit: number, terms: QuotaTerms): number {
  return limit +
    TARGET_ALLOWANCE_RATIO * (terms.overage * limit + terms.slack);
}

/** Computes the share by the demand of the last seconds. */
function computeSettledShare(
  limit: number,
  usage: Omit<WorkspaceUsage, "name">,
  terms: QuotaTerms,
): number {
  const target = computeTarget(limit, terms);
  const { letIn } = usage;
  // Requests refused for another reason aren't run, and don't count as demand.
  const runRatio = usage.passed === 0 ? 1 : Math.min(1, letIn / usage.passed);
  const asked = usage.asked * runRatio;
  const recentPerWindow = usage.askedLately * runRatio * terms.windowMs /
    RECENT_SPAN_MS;
  const isBelow = usage.leavingSoon === undefined
    ? asked <= target && recentPerWindow <= target * CHANCE_DEMAND_RATIO
    : asked <= target * CHANCE_DEMAND_RATIO;
  if (isBelow && letIn <= target) {
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
    for (const usage of list) {
      const sum = sums.get(usage.name);
      sums.set(usage.name, sum === undefined ? usage : addUsage(sum, usage));
    }
  }
  return sums;
}

function addUsage(a: WorkspaceUsage, b: WorkspaceUsage): WorkspaceUsage {
  return {
    name: a.name,
    asked: a.asked + b.asked,
    askedLately: a.askedLately + b.askedLately,
    passed: a.passed + b.passed,
    letIn: a.letIn + b.letIn,
    ...addRapid(a, b),
  };
}

/** Adds the figures of a jump; omits those that neither has. */
function addRapid(
  a: WorkspaceUsage,
  b: WorkspaceUsage,
): Pick<WorkspaceUsage, "askedNow" | "leavingSoon"> {
  const askedNow = addOptional(a.askedNow, b.askedNow);
  const leavingSoon = addOptional(a.leavingSoon, b.leavingSoon);
  return {
    ...(askedNow === undefined ? {} : { askedNow }),
    ...(leavingSoon === undefined ? {} : { leavingSoon }),
  };
}

function addOptional(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined ? b : a + (b ?? 0);
}

/**
 * Lists what counts of a report that was received `ageMs` ago: without the
 * requests that left the window since, and without an old `askedNow`. Growth is
 * reported at once and decline only by regular reports; without the correction
 * the sums are up to a tenth too high.
 */
export function listCurrentUsages(
  usages: readonly WorkspaceUsage[],
  ageMs: number,
): readonly WorkspaceUsage[] {
  return usages.map(({ askedNow, leavingSoon, ...usage }) => {
    if (leavingSoon === undefined) {
      return usage;
    }
    const left = leavingSoon * Math.min(1, ageMs / 1_000);
    return {
      ...usage,
      leavingSoon,
      asked: Math.max(0, usage.asked - left),
      letIn: Math.max(0, usage.letIn - left),
      passed: Math.max(0, usage.passed - left),
      ...(askedNow !== undefined && ageMs < RAPID_SPAN_MS ? { askedNow } : {}),
    };
  });
}

/** Lists the utilizations that entry nodes are sent, rounded to two decimals. */
export function listUtilizations(
  workspaces: readonly Workspace[],
  usages: ReadonlyMap<string, WorkspaceUsage>,
  terms: QuotaTerms,
): readonly WorkspaceUtilization[] {
  return workspaces.flatMap((workspace) => {
    const letIn = usages.get(workspace.name)?.letIn ?? 0;
    const utilization = letIn / computeWindowLimit(workspace, terms);
    return utilization >= MIN_SENT_UTILIZATION
      ? [[workspace.name, Math.round(utilization * 100) / 100]]
      : [];
  });
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
