/**
 * Adds up the usage of workspaces at all entry nodes, and sends the entry nodes
 * the shares of requests to admit.
 *
 * Each replica sums up the usage of the nodes linked to it and sends the sum to
 * the other replicas. Nothing is written to the log, no single owner can be
 * lost, and the messages grow with the number of workspaces near their limits,
 * not with the number of nodes.
 */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { setEntry } from "../../../base/common/maps.ts";
import { parseReplicaId } from "../../membership/common/membership_state.ts";
import type { UsageDigest } from "../../membership/common/presence_messages.ts";
import {
  addUsages,
  computeWindowLimit,
  listCurrentUsages,
  listShares,
  listUtilizations,
  RAPID_SPAN_MS,
} from "../../workspaces/common/quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
  WorkspaceUtilization,
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
export const WARM_UP_MS = 2_500;
/** Minimum time between two digests of one replica. */
const MIN_DIGEST_INTERVAL_MS = 450;
/**
 * A workspace is omitted from a digest if its usage at the nodes linked to this
 * replica is below this part of an equal share of its limit.
 */
const NEAR_LIMIT_RATIO = 0.15;
/**
 * Minimum time between two messages that a replica sends because usage grew:
 * one digest, and one message of shares to each node.
 */
export const MIN_PROMPT_INTERVAL_MS = 100;
/**
 * Relative change of a share that is sent without waiting for the next tick.
 */
const PROMPT_CHANGE_RATIO = 0.1;
/**
 * Usage expected within a second, relative to an equal share of the limit, from
 * which growth is passed on without waiting for the next tick.
 */
const PROMPT_LEVEL_RATIO = 0.5;

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
  const digest = createUsageDigest(state, quotaTerms, nowMs);
  const computed = computeShares(state, nowMs);
  const isChanged = computed !== undefined &&
    (isSomeSent(computed) || isSomeSent(state));
  const next: ControlState = {
    ...state,
    ...computed ?? { sentShares: undefined, sentUtilizations: [] },
    usageDigests: removeStaleDigests(state, nowMs),
    usageSentAtMs: nowMs,
  };
  const sends = isChanged ? createSharesUpdates(next, listNodeLinks(next)) : [];
  return createReduction(next, [
    { type: "SendToReplicas", message: digest },
    ...sends,
  ]);
}

/**
 * Passes growth that a node reported on to the other replicas, and the shares
 * that follow from it to the linked nodes. What the minimum intervals hold back
 * goes with the next report or tick.
 */
export function forwardUsage(
  state: ControlState,
  reported: readonly WorkspaceUsage[],
  nowMs: number,
): ControlStep {
  const { quotaTerms } = state;
  const isDue = nowMs - state.promptUsageSentAtMs >= MIN_PROMPT_INTERVAL_MS;
  const isPassedOn = quotaTerms !== undefined && isDue &&
    isNearLimitSoon(state, reported, quotaTerms, nowMs);
  const step: ControlStep = isPassedOn
    ? createReduction({ ...state, promptUsageSentAtMs: nowMs }, [{
      type: "SendToReplicas",
      message: {
        ...createUsageDigest(state, quotaTerms, nowMs),
        isPrompt: true,
      },
    }])
    : createReduction(state);
  return chainReduction(step, (s) => sendChangedShares(s, nowMs));
}

/**
 * Sends the shares to the linked nodes if they differ much from those last
 * sent.
 */
export function sendChangedShares(
  state: ControlState,
  nowMs: number,
): ControlStep {
  if (nowMs - state.promptSharesSentAtMs < MIN_PROMPT_INTERVAL_MS) {
    return createReduction(state);
  }
  const computed = computeShares(state, nowMs);
  if (
    computed === undefined ||
    !hasChangedMuch(state.sentShares ?? [], computed.sentShares)
  ) {
    return createReduction(state);
  }
  const next = { ...state, ...computed, promptSharesSentAtMs: nowMs };
  return createReduction(next, createSharesUpdates(next, listNodeLinks(next)));
}

/** Whether a share differs by more than `PROMPT_CHANGE_RATIO`. */
export function hasChangedMuch(
  before: readonly WorkspaceShare[],
  after: readonly WorkspaceShare[],
): boolean {
  const beforeByName = new Map(before);
  const afterByName = new Map(after);
  return [...before, ...after].some(([name]) => {
    const [old = 1, now = 1] = [beforeByName.get(name), afterByName.get(name)];
    return Math.abs(now - old) > PROMPT_CHANGE_RATIO * old;
  });
}

/**
 * Whether the linked nodes' usage of a reported workspace comes near an equal
 * share of its limit within a second.
 */
function isNearLimitSoon(
  state: ControlState,
  reported: readonly WorkspaceUsage[],
  terms: QuotaTerms,
  nowMs: number,
): boolean {
  const { workspaces = [] } = state.tableState.document.table;
  const names = new Set(reported.map(({ name }) => name));
  const usages = new Map(
    listLinkedUsages(state, nowMs).map((usage) => [usage.name, usage]),
  );
  const replicaCount = 1 + state.usageDigests.size;
  return workspaces.some((workspace) => {
    const { letIn = 0, askedNow = 0 } = usages.get(workspace.name) ?? {};
    const soon = letIn + askedNow * 1_000 / RAPID_SPAN_MS;
    const equalShare = computeWindowLimit(workspace, terms) / replicaCount;
    return names.has(workspace.name) && soon >= PROMPT_LEVEL_RATIO * equalShare;
  });
}

function createUsageDigest(
  state: ControlState,
  terms: QuotaTerms,
  nowMs: number,
): UsageDigest {
  return {
    type: "UsageDigest",
    owner: parseReplicaId(state.membership.self),
    usages: listNearLimit(state, listLinkedUsages(state, nowMs), terms),
    nodes: countLinkedNodes(state),
  };
}

function isSomeSent(
  { sentShares, sentUtilizations }: Pick<
    ControlState,
    "sentShares" | "sentUtilizations"
  >,
): boolean {
  // Before the first shares, undefined, there is something to send.
  return (sentShares?.length ?? 1) > 0 || sentUtilizations.length > 0;
}

/**
 * Creates the messages that send the shares to nodes; they carry the number of
 * nodes alone until this replica knows the shares.
 */
export function createSharesUpdates(
  state: ControlState,
  linkIds: readonly number[],
): readonly ControlEffect[] {
  const { sentShares, sentUtilizations, usageDigests } = state;
  const nodes = [...usageDigests.values()]
    .reduce((sum, report) => sum + report.nodes, countLinkedNodes(state));
  const message = {
    type: "SharesUpdate",
    nodes,
    ...(sentShares === undefined
      ? {}
      : { shares: sentShares, utilizations: sentUtilizations }),
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

/** The shares and utilizations that nodes are sent. */
interface ComputedShares {
  readonly sentShares: readonly WorkspaceShare[];
  readonly sentUtilizations: readonly WorkspaceUtilization[];
}

/**
 * Computes the shares; undefined until this replica can know the total usage.
 */
function computeShares(
  state: ControlState,
  nowMs: number,
): ComputedShares | undefined {
  const { quotaTerms, startedAtMs } = state;
  const { workspaces = [] } = state.tableState.document.table;
  if (quotaTerms === undefined || nowMs - startedAtMs < WARM_UP_MS) {
    return undefined;
  }
  const usages = computeUsages(state, nowMs);
  return {
    sentShares: listShares(workspaces, usages, quotaTerms),
    sentUtilizations: listUtilizations(workspaces, usages, quotaTerms),
  };
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
    .flatMap((report) => listFreshUsages(report, nowMs));
  return addUsages([listLinkedUsages(state, nowMs), ...others]);
}

function listLinkedUsages(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceUsage[] {
  const reports = [...state.links.values()].flatMap(({ usage }) =>
    usage === undefined ? [] : listFreshUsages(usage, nowMs)
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

function listFreshUsages(
  report: ReceivedUsage,
  nowMs: number,
): readonly (readonly WorkspaceUsage[])[] {
  return isFresh(report, nowMs)
    ? [listCurrentUsages(report.usages, nowMs - report.receivedAtMs)]
    : [];
}

function isFresh(report: { readonly receivedAtMs: number }, nowMs: number) {
  return nowMs - report.receivedAtMs < REPORT_TTL_MS;
}
