/** Served attempts: answers, failures, cancellation and expiry. */
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import type { AdmissionEvent } from "../../admission/common/admission_types.ts";
import { evaluateAnswer } from "../../quarantine/common/answer_proof.ts";
import { EMPTY_POOL } from "../../retry/common/retry_tokens.ts";
import { createSignalHeaders } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import { isClaimWon, isReplay, withdrawServedClaim } from "./claim_steps.ts";
import { computeReportedLevel } from "./call_level.ts";
import { computeDownstreamMs } from "./downstream_time.ts";
import type { AttemptAnswer, NodeEffect } from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import { endLease, recordAbandoned } from "./quarantine_steps.ts";
import type { LocalResult, NodeStep, ServedDeps } from "./served_types.ts";
import {
  isAnswered,
  isUnsent,
  releaseServed,
  settleServed,
  stepAdmission,
} from "./served_steps.ts";

/** Handles the head of an answer of the backend server: starts relaying it. */
export function answerServed(
  state: NodeState,
  attemptId: string,
  answer: AttemptAnswer,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const { left } = call.pool;
  // The answer returns the tokens, so no call below may spend them any more.
  const relaying: ServedCall = {
    ...call,
    phase: "relaying",
    pool: EMPTY_POOL,
    answeredStatus: answer.status,
  };
  const served = setEntry(state.served, attemptId, relaying);
  // A stored answer is no sample of the backend server's latency.
  const event: AdmissionEvent = isReplay(call)
    ? { type: "RequestFinished", attemptId, result: "cancelled" }
    : {
      type: "RequestAnswered",
      attemptId,
      downstreamMs: computeDownstreamMs(call, deps.nowMs),
    };
  const answered = { ...state, served, backendHeardMs: deps.nowMs };
  const step = stepAdmission(answered, event, deps);
  if (call.origin === "local") {
    const hintedLoad = state.loadHint;
    const returned = { ...answer, tokens: left, hintedLoad };
    const result: LocalResult = { type: "Answered", answer: returned };
    return chainReduction(
      step,
      (next) => deps.settleLocal(next, attemptId, result, deps.nowMs),
    );
  }
  const headers = createSignalHeaders({
    outcome: "ran",
    tokens: left,
    isDraining: state.self.isDraining,
    level: computeReportedLevel(state, call.row.kind, deps.nowMs),
    load: state.loadHint,
  });
  const { exchangeId } = call;
  return appendEffects(step, {
    type: "RelayAnswer",
    exchangeId,
    attemptId,
    headers,
  });
}

/** Records whether the receiver of an answer has stopped reading it. */
export function recordBlocked(
  state: NodeState,
  attemptId: string,
  isBlocked: boolean,
): NodeStep {
  const call = state.served.get(attemptId);
  if (call === undefined) {
    return createReduction(state);
  }
  const relaying: ServedCall = {
    ...call,
    phase: isBlocked ? "blocked" : "relaying",
  };
  const served = setEntry(state.served, attemptId, relaying);
  return createReduction({ ...state, served });
}

/** Ends an attempt that the backend server did not answer. */
export function failServed(
  state: NodeState,
  failure: {
    readonly attemptId: string;
    readonly isSent: boolean;
    readonly reason: string;
  },
  deps: ServedDeps,
): NodeStep {
  const { attemptId, isSent, reason } = failure;
  const withdrawn: NodeStep = isSent
    ? createReduction(state)
    : withdrawServedClaim(state, attemptId);
  const answer: OwnAnswer = {
    status: isSent ? 502 : 503,
    outcome: isSent ? "unknown" : "not-run",
    message: `Backend server did not answer: ${reason}`,
  };
  const finished = chainReduction(
    withdrawn,
    (next) =>
      stepAdmission(
        next,
        { type: "RequestFinished", attemptId, result: "failed" },
        deps,
      ),
  );
  return chainReduction(
    finished,
    (next) => settleServed(next, attemptId, answer, deps),
  );
}

/** Ends an attempt whose answer is complete, or was cut (`isWhole` false). */
export function endServed(
  state: NodeState,
  attemptId: string,
  isWhole: boolean,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const { nowMs } = deps;
  const step = chainReduction(
    endLease(state, attemptId, {
      isWhole: isWhole && isOfWholeRun(call),
      nowMs,
    }),
    (next) => releaseServed(next, attemptId, deps),
  );
  const { exchangeId, origin } = call;
  return isWhole || origin === "local"
    ? step
    : appendEffects(step, { type: "DropExchange", exchangeId });
}

/** Whether the answer to a call shows that its run did all its work. */
function isOfWholeRun({ answeredStatus }: ServedCall): boolean {
  const proof = answeredStatus === undefined
    ? "failed"
    : evaluateAnswer({ status: answeredStatus, isRequestSent: true });
  return proof === "whole";
}

/**
 * Cancels an attempt whose caller disconnected, and frees its slot. One that
 * has won a claim continues until its deadline, so that a resend of its key
 * gets the complete answer.
 */
export function cancelServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  if (call.phase === "running" && isClaimWon(state, attemptId)) {
    const detached: ServedCall = { ...call, isDetached: true };
    const served = setEntry(state.served, attemptId, detached);
    return createReduction({ ...state, served });
  }
  const recorded = isUnsent(state, call)
    ? state
    : recordAbandoned(state, call, deps.nowMs);
  const step = releaseServed(recorded, attemptId, deps);
  return call.phase === "queued"
    ? step
    : appendEffects(step, { type: "AbortAttempt", attemptId });
}

/** Ends an attempt whose deadline passed before its answer. */
export function expireServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId);
  if (call === undefined || isAnswered(call)) {
    return createReduction(state);
  }
  const isNotRun = isUnsent(state, call);
  const recorded = isNotRun ? state : recordAbandoned(state, call, deps.nowMs);
  const step = settleServed(recorded, attemptId, {
    status: 504,
    outcome: isNotRun ? "not-run" : "unknown",
    message: "Deadline passed",
  }, deps);
  return isNotRun
    ? step
    : appendEffects(step, ...createAbortEffects(state, call));
}

/**
 * Creates the effects that abort an expired attempt. If the backend server has
 * answered nothing since the attempt arrived, its other connections may have
 * stalled too, so later attempts use new ones.
 */
function createAbortEffects(
  state: NodeState,
  call: ServedCall,
): readonly NodeEffect[] {
  const { attemptId, context, deadlineMs } = call;
  const abort: NodeEffect = { type: "AbortAttempt", attemptId };
  const arrivedMs = deadlineMs - context.remainingMs;
  const address = state.backendAddress;
  return state.backendHeardMs >= arrivedMs
    ? [abort]
    : [abort, { type: "DropConnections", address }];
}
