/** Receives attempts for the local backend server and requests admission. */
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import { chainReduction } from "../../../base/common/reduction.ts";
import { computeRetryAfter } from "../../admission/common/retry_after.ts";
import { findSettled } from "../../retry/common/settled_attempts.ts";
import { selectRow } from "../../table/common/table_match.ts";
import { createAnswer } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import { decodeContext } from "./call_context.ts";
import type { CallReceived, NodeEffect, TimerKey } from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import { createFingerprint } from "./quarantine_steps.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";
import { refuseServed, stepAdmission } from "./served_steps.ts";

/** Receives an attempt from another node. */
export function receiveIngress(
  state: NodeState,
  call: CallReceived,
  deps: ServedDeps,
): NodeStep {
  const { exchangeId } = call;
  const context = decodeContext(call.contextHeader ?? "");
  if (context.isErr()) {
    return answerImmediately(state, exchangeId, {
      status: 400,
      outcome: "not-run",
      message: `Context header is malformed: ${context.error.reason}`,
    });
  }
  const refusal = checkDuplicate(state, context.value.attemptId);
  if (refusal !== undefined) {
    return answerImmediately(state, exchangeId, refusal);
  }
  const row = selectRow(state.table, call);
  if (row === undefined) {
    return answerImmediately(state, exchangeId, {
      status: 404,
      outcome: "not-run",
      message: `No kind of request matches ${call.method} ${call.path}`,
    });
  }
  return admitAttempt(state, {
    attemptId: context.value.attemptId,
    exchangeId,
    origin: "ingress",
    row,
    context: context.value,
    deadlineMs: deps.nowMs + context.value.remainingMs,
    pool: { left: context.value.retryTokens },
    phase: "queued",
    requestKey: call.requestKey,
    fingerprint: createFingerprint(row, call.digest),
  }, deps);
}

/**
 * Returns an answer to an attempt whose id is known already, so that none runs
 * twice; undefined for a new one.
 */
function checkDuplicate(
  state: NodeState,
  attemptId: string,
): OwnAnswer | undefined {
  const settled = findSettled(state.settled, attemptId);
  if (settled === undefined && !state.served.has(attemptId)) {
    return undefined;
  }
  const isNotRun = settled === "fenced" || settled === "refused";
  return {
    status: isNotRun ? 503 : 409,
    outcome: isNotRun ? "not-run" : "unknown",
    message: isNotRun
      ? "Attempt was given up before it arrived"
      : "Attempt has arrived before",
  };
}

/** Requests admission of an attempt at the local backend server. */
export function admitAttempt(
  state: NodeState,
  call: ServedCall,
  deps: ServedDeps,
): NodeStep {
  const { attemptId, context, row, deadlineMs } = call;
  const served = setEntry(state.served, attemptId, call);
  const registered = { ...state, served };
  if (state.self.isDraining) {
    return refuseServed(registered, attemptId, {
      status: 503,
      outcome: "not-run",
      message: "Backend server is draining",
      retryAfterMs: computeRetryAfter(attemptId, 0),
      reason: "draining",
    }, deps);
  }
  const key: TimerKey = { owner: "served", id: attemptId };
  const start = createReduction<NodeState, NodeEffect>(registered, [
    { type: "StartTimer", key, atMs: deadlineMs },
  ]);
  const { importance, admissionHash, depth } = context;
  const request = {
    attemptId,
    row,
    importance,
    admissionHash,
    depth,
    deadlineMs,
  };
  return chainReduction(
    start,
    (next) => stepAdmission(next, { type: "RequestArrived", request }, deps),
  );
}

/** Answers an exchange whose attempt was not accepted. */
function answerImmediately(
  state: NodeState,
  exchangeId: string,
  answer: OwnAnswer,
): NodeStep {
  const isDraining = state.self.isDraining;
  const effect = createAnswer(exchangeId, answer, { tokens: 0, isDraining });
  return createReduction(state, [effect]);
}
