/** Served attempts: admits, sends, refuses and releases them. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import { reduceAdmission } from "../../admission/common/admission_reducer.ts";
import type {
  AdmissionEffect,
  AdmissionEvent,
} from "../../admission/common/admission_types.ts";
import { rememberSettled } from "../../retry/common/settled_attempts.ts";
import { createAnswer } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import {
  checkKey,
  claimServed,
  endClaim,
  HOLDERS_UNKNOWN,
  isClaiming,
  isClaimNeeded,
  withdrawServedClaim,
} from "./claim_steps.ts";
import { computeReportedLevel } from "./call_level.ts";
import { computeDownstreamMs } from "./downstream_time.ts";
import type { TimerKey } from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import { checkSuspect, isAwaitingLease } from "./quarantine_steps.ts";
import { MAX_STORED_BYTES } from "../../claims/common/claim_types.ts";
import type { LocalResult, NodeStep, ServedDeps } from "./served_types.ts";

/** Whether no byte of an attempt has been sent to the backend server yet. */
export function isUnsent(state: NodeState, call: ServedCall): boolean {
  const { attemptId, phase } = call;
  return phase === "queued" || isClaiming(state, attemptId) ||
    isAwaitingLease(state, attemptId);
}

/** Whether the head of an attempt's answer has arrived. */
export function isAnswered(call: ServedCall): boolean {
  return call.phase === "relaying" || call.phase === "blocked";
}

/** Advances admission with time: queued requests may run or be refused. */
export function tickAdmission(state: NodeState, deps: ServedDeps): NodeStep {
  return stepAdmission(state, { type: "Ticked" }, deps);
}

/** Applies an event to admission, and carries out its decisions. */
export function stepAdmission(
  state: NodeState,
  event: AdmissionEvent,
  deps: ServedDeps,
): NodeStep {
  const step = reduceAdmission(state.admission, event, deps.nowMs);
  const next = { ...state, admission: step.state };
  return step.effects.reduce<NodeStep>(
    (previous, effect) =>
      chainReduction(previous, (s) => applyAdmission(s, effect, deps)),
    createReduction(next),
  );
}

function applyAdmission(
  state: NodeState,
  effect: AdmissionEffect,
  deps: ServedDeps,
): NodeStep {
  switch (effect.type) {
    case "RunRequest":
      return runServed(state, effect.attemptId, deps);
    case "RefuseRequest":
      return refuseServed(state, effect.attemptId, {
        status: effect.reason === "rate" ? 429 : 503,
        outcome: "not-run",
        message: `Refused: ${effect.reason}`,
        retryAfterMs: effect.retryAfterMs,
        reason: effect.reason,
      }, deps);
  }
}

/** Runs an admitted attempt, after it has won its claim where it needs one. */
function runServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const running: ServedCall = { ...call, phase: "running" };
  const served = setEntry(state.served, attemptId, running);
  const next = { ...state, served };
  const refusal = checkKey(call.row, call.requestKey);
  if (refusal !== undefined) {
    return refuseServed(next, attemptId, refusal, deps);
  }
  return isClaimNeeded(call)
    ? claimServed(next, running) ??
      refuseServed(next, attemptId, HOLDERS_UNKNOWN, deps)
    : sendServed(next, attemptId, deps);
}

/**
 * Sends an attempt to the local backend server; one that is a suspect needs a
 * lease first.
 */
export function sendServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const { exchangeId, context, row, deadlineMs, pool } = call;
  const suspect = checkSuspect(state, call, deps.nowMs);
  if (suspect?.type === "Asked") {
    return suspect.step;
  }
  if (suspect?.type === "Refused") {
    return chainReduction(
      withdrawServedClaim(state, attemptId),
      (next) => refuseServed(next, attemptId, suspect.answer, deps),
    );
  }
  const remainingMs = deadlineMs - deps.nowMs;
  const collection = isClaimNeeded(call)
    ? { collectBytes: MAX_STORED_BYTES }
    : {};
  return createReduction(state, [
    {
      type: "RecordEvent",
      event: { type: "AttemptRun", requestId: context.rootId, attemptId },
    },
    {
      type: "SendAttempt",
      exchangeId,
      attemptId,
      address: state.backendAddress,
      peer: "backend",
      context: { ...context, remainingMs, retryTokens: pool.left },
      maxBodyBytes: row.maxBodyBytes,
      ...collection,
    },
  ]);
}

/** Ends an attempt that did not run, and records its refusal. */
export function refuseServed(
  state: NodeState,
  attemptId: string,
  answer: OwnAnswer,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const step = settleServed(state, attemptId, answer, deps);
  return appendEffects(step, {
    type: "RecordEvent",
    event: {
      type: "AttemptRefused",
      requestId: call.context.rootId,
      attemptId,
      kind: call.row.kind,
      importance: call.context.importance,
      reason: answer.reason ?? answer.message,
    },
  });
}

/** Ends an attempt with an answer that the node generates. */
export function settleServed(
  state: NodeState,
  attemptId: string,
  answer: OwnAnswer,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const step = releaseServed(state, attemptId, deps);
  if (call.origin === "local") {
    const type = answer.outcome === "not-run" ? "Refused" : "Failed";
    const result: LocalResult = { type, answer };
    return chainReduction(
      step,
      (next) => deps.settleLocal(next, attemptId, result, deps.nowMs),
    );
  }
  const signals = {
    tokens: call.pool.left,
    isDraining: state.self.isDraining,
    level: computeReportedLevel(step.state, call.row.kind, deps.nowMs),
    load: state.loadHint,
  };
  return appendEffects(step, createAnswer(call.exchangeId, answer, signals));
}

/** Removes an attempt: frees its slot, ends its claim and cancels its calls. */
export function releaseServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const key: TimerKey = { owner: "served", id: attemptId };
  const served = deleteEntry(state.served, attemptId);
  const isQueued = call.phase === "queued";
  const settledAs = isUnsent(state, call) ? "refused" : "ended";
  const settled = rememberSettled(
    state.settled,
    { attemptId, as: settledAs },
    deps.nowMs,
  );
  const result = isAnswered(call) ? "answered" : "cancelled";
  const event: AdmissionEvent = isQueued
    ? { type: "RequestWithdrawn", attemptId }
    : {
      type: "RequestFinished",
      attemptId,
      result,
      downstreamMs: computeDownstreamMs(call, deps.nowMs),
    };
  const released = { ...state, served, settled };
  const ended = isAwaitingLease(state, attemptId)
    ? withdrawServedClaim(released, attemptId)
    : endClaim(released, attemptId);
  const step = chainReduction(
    ended,
    (next) => stepAdmission(next, event, deps),
  );
  const stopped = appendEffects(step, { type: "StopTimer", key });
  return chainReduction(
    stopped,
    (next) => deps.cancelChildren(next, attemptId, deps),
  );
}
