/**
 * Which share of a workspace's requests is let in while it asks for more than
 * its limit.
 *
 * Load pattern: tens of requests a second to fractions of one, spread over
 * hundreds of entries, so that most entries see less than one in a window. A
 * fixed part of the limit for each entry would refuse most of what is far below
 * the limit. Here each entry says what it was asked for and let in; control
 * adds up, and answers with the one share that all entries let in. Below the
 * limit the share is 1, and nothing is refused.
 */
import type { Workspace } from "./workspace.ts";

/** How strictly limits are kept. */
export interface QuotaTerms {
  /** Span over which a limit is counted, in milliseconds. */
  readonly windowMs: number;
  /** What may be let in beyond it, as a part of it. */
  readonly overage: number;
  /** What may be let in beyond both, in requests a window. */
  readonly slack: number;
}

/** Requests of a workspace at one entry, or at several. */
export interface WorkspaceUsage {
  readonly name: string;
  /** Asked for in a window, or in the mean of two: one may be low by chance. */
  readonly asked: number;
  /** Asked for within `LATELY_MS`. */
  readonly askedLately: number;
  /** Let in within the window, whatever became of it. */
  readonly passed: number;
  /** Let in within the window, without those that ran nowhere. */
  readonly letIn: number;
}

/** What each entry lets in of a workspace's requests, from 0 to 1. */
export type WorkspaceShare = readonly [name: string, share: number];

/** Span over which demand is measured, in milliseconds. */
export const LATELY_MS = 2_000;
/**
 * Demand that is above the limit by less than this, in a window that is not
 * full, may be chance.
 */
const CHANCE_FACTOR = 1.4;
/** Part of what is allowed beyond the limit that is aimed at: counts are late. */
const AIMED_PART = 0.2;
/** How much harder a window is cut that has had more than its due. */
const OVERRUN_WEIGHT = 3;
/** How much faster one is filled that has had less. */
const UNDERRUN_WEIGHT = 0.1;
/** Part of the demand of two windows that is still expected in a calm moment. */
const STEADY_PART = 0.75;
/** Least that is let in of the aim while a window is cut. */
const LEAST_PART = 0.3;

/** Computes how many requests a window may hold; Infinity without a limit. */
export function computeWindowLimit(
  { ratePerSecond, burst }: Workspace,
  terms: QuotaTerms,
): number {
  return ratePerSecond === 0 && burst === 0
    ? Infinity
    : ratePerSecond * terms.windowMs / 1_000 + burst;
}

/** Computes the share of a workspace from what all entries say together. */
export function computeShare(
  limit: number,
  usage: Omit<WorkspaceUsage, "name">,
  terms: QuotaTerms,
): number {
  const aim = limit + AIMED_PART * (terms.overage * limit + terms.slack);
  const { letIn } = usage;
  // What is refused for another reason runs nowhere, and takes no room here.
  const ran = usage.passed === 0 ? 1 : Math.min(1, letIn / usage.passed);
  const asked = usage.asked * ran;
  const askedAWindow = usage.askedLately * ran * terms.windowMs / LATELY_MS;
  if (asked <= aim && askedAWindow <= aim * CHANCE_FACTOR && letIn <= aim) {
    return 1;
  }
  const used = letIn / aim;
  const part = used > 1
    ? Math.max(LEAST_PART, 1 - OVERRUN_WEIGHT * (used - 1))
    : 1 + UNDERRUN_WEIGHT * (1 - used);
  const demand = Math.max(askedAWindow, asked * STEADY_PART);
  return Math.min(1, aim * part / Math.max(1, demand));
}

/** Adds up what several entries, or replicas, say. */
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

/** Lists the workspaces of which not all is let in. */
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
