/**
 * Adds up what the requests of workspaces come to at all entries, and tells the
 * entries how much of them to let in.
 *
 * Each replica sums up its own nodes and tells the other replicas: nothing is
 * written to the log, there is no owner to lose, and what a replica sends grows
 * with the workspaces that come near their limits, not with the fleet.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import { setEntry } from "../../../base/common/maps.ts";
import { parseReplicaId } from "../../membership/common/membership_state.ts";
import type { UsageDigest } from "../../membership/common/presence_messages.ts";
import {
  addUsages,
  computeWindowLimit,
  listShares,
} from "../../workspaces/common/quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
} from "../../workspaces/common/quota_shares.ts";
import { createSend, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
} from "./control_state.ts";

/** What was said of usage, and when by the steady clock. */
export interface UsageReport {
  readonly usages: readonly WorkspaceUsage[];
  readonly heardAtMs: number;
}

/** How old a report may be that is added up: some are lost or late. */
const REPORT_VALID_MS = 2_500;
/**
 * After a start a replica has not heard all nodes and replicas yet: it says
 * nothing for as long as two reports of each take.
 */
const LEARNING_MS = 2_500;
/** Least time between two digests of one replica. */
const DIGEST_MS = 450;
/**
 * A workspace is left out of a digest where this replica's nodes let in less
 * than this part of an even share of its limit.
 */
const NEAR_PART = 0.4;

/** Notes what a node says of its workspaces. */
export function noteUsage(
  state: ControlState,
  linkId: number,
  usages: readonly WorkspaceUsage[],
  nowMs: number,
): ControlState {
  return updateLink(state, linkId, { usage: { usages, heardAtMs: nowMs } });
}

/** Notes what another replica says of its nodes. */
export function noteDigest(
  state: ControlState,
  { owner, usages, nodes }: UsageDigest,
  nowMs: number,
): ControlState {
  const report = { usages, nodes, heardAtMs: nowMs };
  return {
    ...state,
    usageDigests: setEntry(state.usageDigests, owner, report),
  };
}

/** Tells the other replicas and the own nodes, where there are limits. */
export function tickUsage(state: ControlState, nowMs: number): ControlStep {
  const { quotaTerms } = state;
  const { workspaces } = state.tableState.document.table;
  const isDue = nowMs - state.usageSaidAtMs >= DIGEST_MS;
  if (quotaTerms === undefined || workspaces === undefined || !isDue) {
    return createReduction(state);
  }
  const digest: UsageDigest = {
    type: "UsageDigest",
    owner: parseReplicaId(state.membership.self),
    usages: listNear(state, listOwnUsages(state, nowMs), quotaTerms),
    nodes: countOwnNodes(state),
  };
  const toldShares = listAllShares(state, nowMs);
  const isNews = toldShares !== undefined &&
    (toldShares.length > 0 || (state.toldShares?.length ?? 1) > 0);
  const next: ControlState = {
    ...state,
    usageDigests: dropOldDigests(state, nowMs),
    usageSaidAtMs: nowMs,
    toldShares,
  };
  const sends = isNews ? tellShares(next, listNodeLinks(next)) : [];
  return createReduction(next, [
    { type: "SendToReplicas", message: digest },
    ...sends,
  ]);
}

/** Creates what nodes are told of shares; the replica may know none yet. */
export function tellShares(
  state: ControlState,
  linkIds: readonly number[],
): readonly ControlEffect[] {
  const { toldShares, usageDigests } = state;
  const nodes = [...usageDigests.values()]
    .reduce((sum, report) => sum + report.nodes, countOwnNodes(state));
  const message = {
    type: "SharesUpdate",
    nodes,
    ...(toldShares === undefined ? {} : { shares: toldShares }),
  } as const;
  return linkIds.map((linkId) => createSend(linkId, message));
}

/** Replicas that are replaced are not heard again. */
function dropOldDigests(
  { usageDigests }: ControlState,
  nowMs: number,
): ControlState["usageDigests"] {
  const fresh = [...usageDigests].filter(([, report]) =>
    isFresh(report, nowMs)
  );
  return fresh.length === usageDigests.size ? usageDigests : new Map(fresh);
}

/** Undefined while this replica can't know what is asked for in all. */
function listAllShares(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceShare[] | undefined {
  const { quotaTerms, startedAtMs } = state;
  const { workspaces = [] } = state.tableState.document.table;
  if (quotaTerms === undefined || nowMs - startedAtMs < LEARNING_MS) {
    return undefined;
  }
  return listShares(workspaces, computeUsages(state, nowMs), quotaTerms);
}

/**
 * Sums up what all nodes are asked for, as this replica knows: of other
 * replicas' nodes only what comes near a limit.
 */
export function computeUsages(
  state: ControlState,
  nowMs: number,
): ReadonlyMap<string, WorkspaceUsage> {
  const others = [...state.usageDigests.values()]
    .filter((report) => isFresh(report, nowMs))
    .map(({ usages }) => usages);
  return addUsages([listOwnUsages(state, nowMs), ...others]);
}

function listOwnUsages(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceUsage[] {
  const reports = [...state.links.values()].flatMap(({ usage }) =>
    usage !== undefined && isFresh(usage, nowMs) ? [usage.usages] : []
  );
  return [...addUsages(reports).values()];
}

/** What is far below its limit here need not be told: that is most of them. */
function listNear(
  state: ControlState,
  usages: readonly WorkspaceUsage[],
  terms: QuotaTerms,
): readonly WorkspaceUsage[] {
  const { workspaces = [] } = state.tableState.document.table;
  const limits = new Map(
    workspaces.map((one) => [one.name, computeWindowLimit(one, terms)]),
  );
  const replicas = 1 + state.usageDigests.size;
  return usages.filter(({ name, asked, letIn }) => {
    const even = (limits.get(name) ?? Infinity) / replicas;
    return Math.max(asked, letIn) >= NEAR_PART * even;
  });
}

function listNodeLinks(state: ControlState): readonly number[] {
  return [...state.links].flatMap(([linkId, { nodeId }]) =>
    nodeId === undefined ? [] : [linkId]
  );
}

function countOwnNodes(state: ControlState): number {
  return listNodeLinks(state).length;
}

function isFresh(report: { readonly heardAtMs: number }, nowMs: number) {
  return nowMs - report.heardAtMs < REPORT_VALID_MS;
}
