/** Combines the claimant and the holder state of a node. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimMessage, ClaimReply } from "./claim_messages.ts";
import { checkClaim, receiveClaimReply, startClaim } from "./claim_reducer.ts";
import type { ClaimStep } from "./claim_reducer.ts";
import { INITIAL_CLAIM_STATE } from "./claim_state.ts";
import type { ClaimEffect, ClaimState } from "./claim_state.ts";
import type { Holder, HolderSets, RequestKey } from "./claim_types.ts";
import {
  answerHolder,
  applySets,
  evictExpiredRecords,
  INITIAL_HOLDER_STATE,
  isCopyReply,
  receivePage,
} from "./holder_reducer.ts";
import type { HolderState, HolderStep } from "./holder_reducer.ts";
import { resendOutcomes } from "./outcome_steps.ts";
import { BUCKET_COUNT } from "./record_map.ts";

/** A node's state in the claim protocol. */
export interface NodeClaims {
  /** Undefined until received from control. */
  readonly sets: HolderSets | undefined;
  readonly holder: HolderState;
  readonly claimant: ClaimState;
  readonly ticks: number;
}

/** Effects of a node's claim protocol. */
export type NodeClaimEffect =
  | ClaimEffect
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  };

/** The state after an event, with the effects to perform. */
export type NodeClaimStep = Reduction<NodeClaims, NodeClaimEffect>;

/** The local node's process instance. */
export type LocalHolder = Pick<Holder, "nodeId" | "incarnation" | "ingress">;

/** State after a start. */
export const INITIAL_NODE_CLAIMS: NodeClaims = {
  sets: undefined,
  holder: INITIAL_HOLDER_STATE,
  claimant: INITIAL_CLAIM_STATE,
  ticks: 0,
};

/** Ticks between retries of copying, reporting and recording. */
const RETRY_INTERVAL_TICKS = 10;

/** Applies a step of the claimant. */
export function applyClaimStep(
  claims: NodeClaims,
  step: ClaimStep,
): NodeClaimStep {
  return createReduction<NodeClaims, NodeClaimEffect>(
    { ...claims, claimant: step.state },
    step.effects,
  );
}

/** Claims the key of an attempt; undefined if no holders are known. */
export function claimAttempt(
  claims: NodeClaims,
  request: RequestKey,
  attempt: { readonly attemptId: string; readonly ingress: string },
): NodeClaimStep | undefined {
  const set = claims.sets?.active;
  return set === undefined ? undefined : applyClaimStep(
    claims,
    startClaim(claims.claimant, { ...attempt, request, set }),
  );
}

/** Processes the sets received from control; ignores outdated ones. */
export function receiveSets(
  claims: NodeClaims,
  sets: HolderSets,
  self: LocalHolder,
): NodeClaimStep {
  if (claims.sets !== undefined && isOlderThan(sets, claims.sets)) {
    return createReduction(claims);
  }
  return applyHolderSets({ ...claims, sets }, self);
}

/** Both epochs only grow; a replica that lags sends older ones. */
function isOlderThan(sets: HolderSets, known: HolderSets): boolean {
  const isSameActive = sets.active.epoch === known.active.epoch;
  return sets.active.epoch < known.active.epoch ||
    isSameActive && (sets.proposed?.epoch ?? 0) < (known.proposed?.epoch ?? 0);
}

/** Answers a message from another node. */
export function answerClaimMessage(
  claims: NodeClaims,
  message: ClaimMessage,
  local: { readonly incarnation: number; readonly nowMs: number },
): { readonly claims: NodeClaims; readonly reply: ClaimReply } {
  if (message.type === "CheckClaim") {
    const phase = checkClaim(claims.claimant, message.attemptId);
    return { claims, reply: { type: "ClaimChecked", phase } };
  }
  const { state, reply } = answerHolder(claims.holder, message, local);
  return { claims: { ...claims, holder: state }, reply };
}

/** Processes the reply to a claim or copy request. */
export function receiveReply(
  claims: NodeClaims,
  requestId: string,
  reply: ClaimReply | undefined,
): NodeClaimStep {
  return isCopyReply(requestId)
    ? applyHolderStep(claims, receivePage(claims.holder, requestId, reply))
    : applyClaimStep(
      claims,
      receiveClaimReply(claims.claimant, requestId, reply),
    );
}

/** Evicts expired records of one bucket, and retries unfinished work. */
export function tickClaims(
  claims: NodeClaims,
  self: LocalHolder,
  nowMs: number,
): NodeClaimStep {
  const ticks = claims.ticks + 1;
  const holder = evictExpiredRecords(
    claims.holder,
    ticks % BUCKET_COUNT,
    nowMs,
  );
  const next = { ...claims, holder, ticks };
  if (claims.sets === undefined || ticks % RETRY_INTERVAL_TICKS !== 0) {
    return createReduction(next);
  }
  const resent = applyClaimStep(
    next,
    resendOutcomes(next.claimant, claims.sets.active),
  );
  const applied = applyHolderSets(resent.state, self);
  const effects = [...resent.effects, ...applied.effects];
  return { state: applied.state, effects };
}

function applyHolderSets(claims: NodeClaims, self: LocalHolder): NodeClaimStep {
  return applyHolderStep(claims, applySets(claims.holder, claims.sets!, self));
}

/** Reports a complete copy until control activates the copied set. */
function applyHolderStep(claims: NodeClaims, step: HolderStep): NodeClaimStep {
  const { sets } = claims;
  const epoch = step.copiedEpoch;
  const isUnconfirmed = epoch !== undefined && sets?.proposed?.epoch === epoch;
  const reports: readonly NodeClaimEffect[] = isUnconfirmed
    ? [{ type: "ReportCopied", service: sets!.active.service, epoch }]
    : [];
  return createReduction<NodeClaims, NodeClaimEffect>(
    { ...claims, holder: step.state },
    [...step.requests, ...reports],
  );
}
