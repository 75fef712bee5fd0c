/** Carries out the decisions on the claims of served attempts. */
import { assertNever } from "../../../base/common/never.ts";
import { setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { ClaimReply } from "../../claims/common/claim_messages.ts";
import { resumeClaim } from "../../claims/common/claim_reducer.ts";
import type { ClaimVerdict } from "../../claims/common/claim_state.ts";
import type {
  HolderSets,
  StoredAnswer,
} from "../../claims/common/claim_types.ts";
import {
  applyClaimStep,
  receiveReply,
  receiveSets,
  tickClaims,
} from "../../claims/common/node_claims.ts";
import type {
  NodeClaimEffect,
  NodeClaimStep,
} from "../../claims/common/node_claims.ts";
import { recordRunOutcome } from "../../claims/common/outcome_steps.ts";
import type { OwnAnswer } from "./answers.ts";
import type { AttemptAnswer, NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";
import { answerServed, endServed } from "./served_reducer.ts";
import { refuseServed, sendServed, settleServed } from "./served_steps.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";

/** Delay after which a caller may send the request of a key again. */
const RETRY_AFTER_MS = 1_000;

/** Handles a holder's reply, or its timeout. */
export function receiveHolderReply(
  state: NodeState,
  requestId: string,
  reply: ClaimReply | undefined,
  deps: ServedDeps,
): NodeStep {
  return applyStep(state, receiveReply(state.claims, requestId, reply), deps);
}

/** Applies the holder sets that control sent; ignores other services'. */
export function receiveHolderSets(
  state: NodeState,
  sets: HolderSets,
  deps: ServedDeps,
): NodeStep {
  if (sets.active.service !== state.self.service) {
    return createReduction(state);
  }
  return applyStep(state, receiveSets(state.claims, sets, state.self), deps);
}

/** Runs the periodic work of claims. */
export function tickServedClaims(
  state: NodeState,
  deps: ServedDeps,
): NodeStep {
  const step = tickClaims(state.claims, state.self, deps.nowMs);
  return applyStep(state, step, deps);
}

/** Resumes a claim after the pause between two rounds. */
export function resumeServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const { claims } = state;
  const step = applyClaimStep(claims, resumeClaim(claims.claimant, attemptId));
  return applyStep(state, step, deps);
}

/**
 * Records the complete answer of a claimed attempt with the holders, before it
 * is relayed.
 */
export function recordAnswer(
  state: NodeState,
  attemptId: string,
  collected: {
    readonly status: number;
    readonly answer: StoredAnswer | undefined;
  },
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId);
  if (call === undefined) {
    return createReduction(state, [{ type: "DiscardAnswer", attemptId }]);
  }
  const { status, answer } = collected;
  const buffered = { ...call, collectedStatus: status };
  const next = {
    ...state,
    served: setEntry(state.served, attemptId, buffered),
  };
  const { claims } = next;
  const step = applyClaimStep(
    claims,
    recordRunOutcome(claims.claimant, attemptId, answer),
  );
  return applyStep(next, step, deps);
}

function applyStep(
  state: NodeState,
  step: NodeClaimStep,
  deps: ServedDeps,
): NodeStep {
  return step.effects.reduce<NodeStep>(
    (previous, effect) =>
      chainReduction(previous, (next) => applyEffect(next, effect, deps)),
    createReduction({ ...state, claims: step.state }),
  );
}

function applyEffect(
  state: NodeState,
  effect: NodeClaimEffect,
  deps: ServedDeps,
): NodeStep {
  switch (effect.type) {
    case "AskPeer":
    case "ReportCopied":
      return createReduction<NodeState, NodeEffect>(state, [effect]);
    case "StartClaimTimer": {
      const key = { owner: "claim", id: effect.attemptId } as const;
      const atMs = deps.nowMs + effect.delayMs;
      return createReduction(state, [{ type: "StartTimer", key, atMs }]);
    }
    case "RunClaimed":
      return state.served.has(effect.attemptId)
        ? sendServed(state, effect.attemptId, deps)
        : createReduction(state);
    case "RelayClaimed":
      return relayClaimed(state, effect.attemptId, deps);
    case "SettleClaim":
      return state.served.has(effect.attemptId)
        ? settleClaim(state, effect.attemptId, effect.verdict, deps)
        : createReduction(state);
    default:
      return assertNever(effect);
  }
}

/** Relays a recorded answer; without a caller, it only ends the attempt. */
function relayClaimed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId);
  if (call?.collectedStatus === undefined) {
    return createReduction(state);
  }
  if (call.isDetached === true) {
    const step = endServed(state, attemptId, true, deps);
    return appendEffects(step, { type: "DiscardAnswer", attemptId });
  }
  const answer = createAnswerHead(call.collectedStatus);
  return answerServed(state, attemptId, answer, deps);
}

/** Answers an attempt that did not win its claim. */
function settleClaim(
  state: NodeState,
  attemptId: string,
  verdict: ClaimVerdict,
  deps: ServedDeps,
): NodeStep {
  if (verdict.type === "Answered") {
    const { answer } = verdict;
    const provide: NodeEffect = { type: "ProvideAnswer", attemptId, answer };
    return chainReduction(
      createReduction<NodeState, NodeEffect>(state, [provide]),
      (next) =>
        answerServed(next, attemptId, createAnswerHead(answer.status), deps),
    );
  }
  const answer = createVerdictAnswer(verdict);
  return answer.outcome === "not-run"
    ? refuseServed(state, attemptId, answer, deps)
    : settleServed(state, attemptId, answer, deps);
}

/** Creates the head of an answer that this node already has. */
function createAnswerHead(status: number): AttemptAnswer {
  return { status, outcome: "ran", tokens: 0, isDraining: false };
}

function createVerdictAnswer(
  verdict: Exclude<ClaimVerdict, { type: "Answered" }>,
): OwnAnswer {
  switch (verdict.type) {
    case "AnswerNotKept":
      return {
        status: 409,
        outcome: "unknown",
        message: "The request of this key has run before; " +
          "its answer was too large to keep",
      };
    case "OtherRequest":
      return {
        status: 422,
        outcome: "not-run",
        message: "Another request has this Idempotency-Key",
      };
    case "StillRunning":
      return {
        status: 409,
        outcome: "unknown",
        message: "The request of this key is still running",
        retryAfterMs: RETRY_AFTER_MS,
      };
    case "OutcomeUnknown":
      return {
        status: 409,
        outcome: "unknown",
        message: "The request of this key may have run before; " +
          "its outcome is unknown",
      };
    case "Undecided":
      return {
        status: 503,
        outcome: "not-run",
        message: `This attempt was not run: no majority of the key's ` +
          `holders (${verdict.reason})`,
        retryAfterMs: RETRY_AFTER_MS,
      };
  }
}
