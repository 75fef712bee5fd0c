/**
 * Adds up the usage of workspaces at all entry nodes, and sends the entry nodes
 * the shares of requests to admit.
 *
 * Each replica sums up the usage of the nodes linked to it and sends the sum to
 * the other replicas. Nothing is written to the log, no single owner can be
 * lost, and the messages grow with the number of workspaces near their limits,
 * not with the number of nodes.
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

/** Usage received from a node or replica. */
export interface ReceivedUsage {
  readonly usages: readonly WorkspaceUsage[];
  /** Steady clock in milliseconds. */
  readonly receivedAtMs: number;
}

/**
 * Maximum age of a report that is added up; tolerates lost and late reports.
 */
const REPORT_TTL_MS = 2_500;
/**
 * Time after its start during which a replica sends no shares: it lasts for two
 * reports of each node and replica, as some haven't been received yet.
 */
const WARM_UP_MS = 2_500;
/** Minimum time between two digests of one replica. */
const MIN_DIGEST_INTERVAL_MS = 450;
/**
 * A workspace is omitted from a digest if its usage at the nodes linked to this
 * replica is below this part of an equal share of its limit.
 */
const NEAR_LIMIT_RATIO = 0.4;

/** Records the usage reported by a node. */
export function recordUsage(
  state: ControlState,
  linkId: number,
  usages: readonly WorkspaceUsage[],
  nowMs: number,
): ControlState {
  return updateLink(state, linkId, { usage: { usages, receivedAtMs: nowMs } });
}

/** Records the usage reported by another replica for its nodes. */
export function recordUsageDigest(
  state: ControlState,
  { owner, usages, nodes }: UsageDigest,
  nowMs: number,
): ControlState {
  const report = { usages, nodes, receivedAtMs: nowMs };
  return {
    ...state,
    usageDigests: setEntry(state.usageDigests, owner, report),
  };
}

/**
 * Sends the usage to the other replicas and the shares to the linked nodes, if
 * limits are enforced.
 */
export function tickUsage(state: ControlState, nowMs: number): ControlStep {
  const { quotaTerms } = state;
  const { workspaces } = state.tableState.document.table;
  const isDue = nowMs - state.usageSentAtMs >= MIN_DIGEST_INTERVAL_MS;
  if (quotaTerms === undefined || workspaces === undefined || !isDue) {
    return createReduction(state);
  }
  const digest: UsageDigest = {
    type: "UsageDigest",
    owner: parseReplicaId(state.membership.self),
    usages: listNearLimit(state, listLinkedUsages(state, nowMs), quotaTerms),
    nodes: countLinkedNodes(state),
  };
  const sentShares = computeShares(state, nowMs);
  const isChanged = sentShares !== undefined &&
    (sentShares.length > 0 || (state.sentShares?.length ?? 1) > 0);
  const next: ControlState = {
    ...state,
    usageDigests: removeStaleDigests(state, nowMs),
    usageSentAtMs: nowMs,
    sentShares,
  };
  const sends = isChanged ? createSharesUpdates(next, listNodeLinks(next)) : [];
  return createReduction(next, [
    { type: "SendToReplicas", message: digest },
    ...sends,
  ]);
}

/**
 * Creates the messages that send the shares to nodes; they carry the number of
 * nodes alone until this replica knows the shares.
 */
export function createSharesUpdates(
  state: ControlState,
  linkIds: readonly number[],
): readonly ControlEffect[] {
  const { sentShares, usageDigests } = state;
  const nodes = [...usageDigests.values()]
    .reduce((sum, report) => sum + report.nodes, countLinkedNodes(state));
  const message = {
    type: "SharesUpdate",
    nodes,
    ...(sentShares === undefined ? {} : { shares: sentShares }),
  } as const;
  return linkIds.map((linkId) => createSend(linkId, message));
}

/** Removes expired digests, such as those of replaced replicas. */
function removeStaleDigests(
  { usageDigests }: ControlState,
  nowMs: number,
): ControlState["usageDigests"] {
  const fresh = [...usageDigests].filter(([, report]) =>
    isFresh(report, nowMs)
  );
  return fresh.length === usageDigests.size ? usageDigests : new Map(fresh);
}

/**
 * Computes the shares; undefined until this replica can know the total usage.
 */
function computeShares(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceShare[] | undefined {
  const { quotaTerms, startedAtMs } = state;
  const { workspaces = [] } = state.tableState.document.table;
  if (quotaTerms === undefined || nowMs - startedAtMs < WARM_UP_MS) {
    return undefined;
  }
  return listShares(workspaces, computeUsages(state, nowMs), quotaTerms);
}

/**
 * Sums up the usage of all nodes as known to this replica; of the nodes of
 * other replicas it knows only the workspaces near a limit.
 */
export function computeUsages(
  state: ControlState,
  nowMs: number,
): ReadonlyMap<string, WorkspaceUsage> {
  const others = [...state.usageDigests.values()]
    .filter((report) => isFresh(report, nowMs))
    .map(({ usages }) => usages);
  return addUsages([listLinkedUsages(state, nowMs), ...others]);
}

function listLinkedUsages(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceUsage[] {
  const reports = [...state.links.values()].flatMap(({ usage }) =>
    usage !== undefined && isFresh(usage, nowMs) ? [usage.usages] : []
  );
  return [...addUsages(reports).values()];
}

/** Omits the workspaces far below their limits, which are most of them. */
function listNearLimit(
  state: ControlState,
  usages: readonly WorkspaceUsage[],
  terms: QuotaTerms,
): readonly WorkspaceUsage[] {
  const { workspaces = [] } = state.tableState.document.table;
  const limits = new Map(
    workspaces.map((item) => [item.name, computeWindowLimit(item, terms)]),
  );
  const replicaCount = 1 + state.usageDigests.size;
  return usages.filter(({ name, asked, letIn }) => {
    const equalShare = (limits.get(name) ?? Infinity) / replicaCount;
    return Math.max(asked, letIn) >= NEAR_LIMIT_RATIO * equalShare;
  });
}

function listNodeLinks(state: ControlState): readonly number[] {
  return [...state.links].flatMap(([linkId, { nodeId }]) =>
    nodeId === undefined ? [] : [linkId]
  );
}

function countLinkedNodes(state: ControlState): number {
  return listNodeLinks(state).length;
}

function isFresh(report: { readonly receivedAtMs: number }, nowMs: number) {
  return nowMs - report.receivedAtMs < REPORT_TTL_MS;
}
