/** Both parts that a node plays in claims, under one state. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimMessage, ClaimReply } from "./claim_messages.ts";
import { checkClaim, startClaim, takeClaimReply } from "./claim_reducer.ts";
import type { ClaimStep } from "./claim_reducer.ts";
import { INITIAL_CLAIMS } from "./claim_state.ts";
import type { ClaimEffect, ClaimState } from "./claim_state.ts";
import type { Holder, HolderSets, RequestKey } from "./claim_types.ts";
import {
  answerHolder,
  evictExpired,
  followSets,
  INITIAL_HOLDER,
  isCopyReply,
  takePage,
} from "./holder_reducer.ts";
import type { HolderState, HolderStep } from "./holder_reducer.ts";
import { retryOutcomes } from "./outcome_steps.ts";
import { BUCKETS } from "./record_map.ts";

/** All that a node knows of claims. */
export interface NodeClaims {
  /** Undefined until control has told them. */
  readonly sets: HolderSets | undefined;
  readonly holder: HolderState;
  readonly own: ClaimState;
  readonly ticks: number;
}

/** What a node does about claims. */
export type NodeClaimEffect =
  | ClaimEffect
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  };

/** A step of a node's claims. */
export type NodeClaimStep = Reduction<NodeClaims, NodeClaimEffect>;

/** The start of the node that takes a step. */
export type SelfHolder = Pick<Holder, "nodeId" | "incarnation" | "ingress">;

/** A node that has just started. */
export const INITIAL_NODE_CLAIMS: NodeClaims = {
  sets: undefined,
  holder: INITIAL_HOLDER,
  own: INITIAL_CLAIMS,
  ticks: 0,
};

/** Ticks between two tries to copy, report and record. */
const RETRY_TICKS = 10;

/** Replaces the claims that the node makes. */
export function applyOwn(
  claims: NodeClaims,
  step: ClaimStep,
): NodeClaimStep {
  return createReduction<NodeClaims, NodeClaimEffect>(
    { ...claims, own: step.state },
    step.effects,
  );
}

/** Asks for the key of an attempt; undefined where no holders are known. */
export function claimAttempt(
  claims: NodeClaims,
  request: RequestKey,
  by: { readonly attemptId: string; readonly ingress: string },
): NodeClaimStep | undefined {
  const set = claims.sets?.active;
  return set === undefined
    ? undefined
    : applyOwn(claims, startClaim(claims.own, { ...by, request, set }));
}

/** Takes the sets that control told; older ones are passed over. */
export function takeSets(
  claims: NodeClaims,
  sets: HolderSets,
  self: SelfHolder,
): NodeClaimStep {
  if (claims.sets !== undefined && isOlder(sets, claims.sets)) {
    return createReduction(claims);
  }
  return followHolders({ ...claims, sets }, self);
}

/** Both epochs only grow: a replica that is behind tells older ones. */
function isOlder(sets: HolderSets, known: HolderSets): boolean {
  const isSameActive = sets.active.epoch === known.active.epoch;
  return sets.active.epoch < known.active.epoch ||
    isSameActive && (sets.proposed?.epoch ?? 0) < (known.proposed?.epoch ?? 0);
}

/** Answers another node. */
export function answerClaimMessage(
  claims: NodeClaims,
  message: ClaimMessage,
  at: { readonly incarnation: number; readonly nowMs: number },
): { readonly claims: NodeClaims; readonly reply: ClaimReply } {
  if (message.type === "CheckClaim") {
    const phase = checkClaim(claims.own, message.attemptId);
    return { claims, reply: { type: "ClaimChecked", phase } };
  }
  const { state, reply } = answerHolder(claims.holder, message, at);
  return { claims: { ...claims, holder: state }, reply };
}

/** Takes the reply to a question of this area. */
export function takeReply(
  claims: NodeClaims,
  requestId: string,
  reply: ClaimReply | undefined,
): NodeClaimStep {
  return isCopyReply(requestId)
    ? applyHolder(claims, takePage(claims.holder, requestId, reply))
    : applyOwn(claims, takeClaimReply(claims.own, requestId, reply));
}

/** Evicts a little at a time, and tries again what has not gone through. */
export function tickClaims(
  claims: NodeClaims,
  self: SelfHolder,
  nowMs: number,
): NodeClaimStep {
  const ticks = claims.ticks + 1;
  const holder = evictExpired(claims.holder, ticks % BUCKETS, nowMs);
  const next = { ...claims, holder, ticks };
  if (claims.sets === undefined || ticks % RETRY_TICKS !== 0) {
    return createReduction(next);
  }
  const recorded = applyOwn(
    next,
    retryOutcomes(next.own, claims.sets.active),
  );
  const followed = followHolders(recorded.state, self);
  const effects = [...recorded.effects, ...followed.effects];
  return { state: followed.state, effects };
}

function followHolders(claims: NodeClaims, self: SelfHolder): NodeClaimStep {
  return applyHolder(claims, followSets(claims.holder, claims.sets!, self));
}

/** Reports as long as control hasn't made the copied set the active one. */
function applyHolder(claims: NodeClaims, step: HolderStep): NodeClaimStep {
  const { sets } = claims;
  const epoch = step.copiedEpoch;
  const isAwaited = epoch !== undefined && sets?.proposed?.epoch === epoch;
  const reports: readonly NodeClaimEffect[] = isAwaited
    ? [{ type: "ReportCopied", service: sets!.active.service, epoch }]
    : [];
  return createReduction<NodeClaims, NodeClaimEffect>(
    { ...claims, holder: step.state },
    [...step.asks, ...reports],
  );
}
