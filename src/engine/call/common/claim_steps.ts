/**
 * Claims of served attempts. A claim lets at most one attempt run for an
 * idempotency key. Its holders are the nodes that vote on the claim and store
 * its outcome.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  checkClaim,
  hasWonClaim,
  withdrawClaim,
} from "../../claims/common/claim_reducer.ts";
import { MAX_KEY_LENGTH } from "../../claims/common/claim_types.ts";
import type { RequestKey } from "../../claims/common/claim_types.ts";
import {
  applyClaimStep,
  claimAttempt,
} from "../../claims/common/node_claims.ts";
import type { NodeClaims } from "../../claims/common/node_claims.ts";
import { discardClaim } from "../../claims/common/outcome_steps.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import type { OwnAnswer } from "./answers.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";

type Step = Reduction<NodeState, NodeEffect>;

const HOLDERS_UNKNOWN_RETRY_MS = 1_000;

/** Answer to a request with a key, while the holders are not known. */
export const HOLDERS_UNKNOWN: OwnAnswer = {
  status: 503,
  outcome: "not-run",
  message: "Holders of idempotency keys are not known yet",
  retryAfterMs: HOLDERS_UNKNOWN_RETRY_MS,
};

/** Checks a request's key against its row; undefined where it is valid. */
export function checkKey(
  row: TableRow,
  requestKey: RequestKey | undefined,
): OwnAnswer | undefined {
  const isMissing = row.key === "required" && requestKey === undefined;
  if (isMissing) {
    const message = `Requests of kind ${row.kind} need an Idempotency-Key`;
    return { status: 400, outcome: "not-run", message };
  }
  const isTooLong = (requestKey?.key.length ?? 0) > MAX_KEY_LENGTH;
  if (row.key !== "none" && isTooLong) {
    const message = `Idempotency-Key is over ${MAX_KEY_LENGTH} characters`;
    return { status: 400, outcome: "not-run", message };
  }
  return undefined;
}

/** Whether an attempt may run only after it wins the claim on its key. */
export function isClaimNeeded(call: ServedCall): boolean {
  const { row, requestKey } = call;
  return !row.idempotent && row.key !== "none" && requestKey !== undefined;
}

/**
 * Whether the answer of an attempt is the stored one of an earlier attempt.
 * Valid once the attempt is answered: one that ran with a claim then has a
 * collected answer of its own.
 */
export function isReplay(call: ServedCall): boolean {
  return isClaimNeeded(call) && call.collectedStatus === undefined;
}

/** Starts the claim of an attempt; undefined where no holders are known. */
export function claimServed(
  state: NodeState,
  call: ServedCall,
): Step | undefined {
  const { attemptId, requestKey } = call;
  const { ingress } = state.self;
  const attempt = { attemptId, ingress };
  const step = claimAttempt(state.claims, requestKey!, attempt);
  return step && applyClaims(state, step);
}

/** Whether the claim of an attempt is still undecided. */
export function isClaiming(state: NodeState, attemptId: string): boolean {
  return checkClaim(state.claims.claimant, attemptId) === "claiming";
}

/** Whether an attempt has won its claim: it runs, or has run. */
export function isClaimWon(state: NodeState, attemptId: string): boolean {
  return hasWonClaim(state.claims.claimant, attemptId);
}

/** Releases the claim of an attempt that did not reach the backend server. */
export function withdrawServedClaim(state: NodeState, attemptId: string): Step {
  const { claims } = state;
  return applyClaims(
    state,
    applyClaimStep(claims, withdrawClaim(claims.claimant, attemptId)),
  );
}

/**
 * Ends the claim of an attempt that ended; releases one that was not won. A
 * claim whose outcome is being recorded continues.
 */
export function endClaim(state: NodeState, attemptId: string): Step {
  const { claims } = state;
  const coordination = claims.claimant.coordinations.get(attemptId);
  if (coordination === undefined || coordination.phase === "recording") {
    return createReduction(state);
  }
  if (coordination.phase !== "running") {
    return withdrawServedClaim(state, attemptId);
  }
  const claimant = discardClaim(claims.claimant, attemptId);
  return createReduction({ ...state, claims: { ...claims, claimant } });
}

/** Applies a step of the claims whose only effects are messages to holders. */
function applyClaims(
  state: NodeState,
  step: Reduction<NodeClaims, { readonly type: string }>,
): Step {
  const requests = step.effects.filter((effect): effect is NodeEffect =>
    effect.type === "AskPeer"
  );
  return createReduction({ ...state, claims: step.state }, requests);
}
