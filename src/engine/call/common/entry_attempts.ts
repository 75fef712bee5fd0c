/** Attempts of entry calls: selects backend servers, sends and retries. */
import { setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { recordLevel } from "../../admission/common/level_view.ts";
import { computeRetryAfter } from "../../admission/common/retry_after.ts";
import { takeShare } from "../../retry/common/retry_tokens.ts";
import type { BackendView } from "../../routing/common/backend_view.ts";
import { isServiceKnown } from "../../routing/common/routing_state.ts";
import { selectBackend } from "../../routing/common/select_backend.ts";
import { createAnswer, createSignalHeaders } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import type { CallContext, CallOutcome } from "./call_context.ts";
import type { AttemptAnswer, NodeEffect } from "./call_events.ts";
import { isShed } from "./call_level.ts";
import { requestAttemptStatus } from "./entry_ask.ts";
import { abortAttempt, cancelChildren } from "./entry_cancel.ts";
import { canReroute, recordReroute } from "./entry_reroute.ts";
import {
  canRetry,
  canRetryUnknown,
  computeRemainingMs,
  countAttempt,
  isRepeat,
} from "./entry_rules.ts";
import {
  closeEntry,
  createCallEndedEffect,
  putEntry,
  reportAttempt,
  settleAttempt,
  stepRouting,
} from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import { admitAttempt } from "./served_receive.ts";
import { createFingerprint } from "./quarantine_steps.ts";
import { recordServiceUse } from "./subscription_step.ts";
import type { LocalResult, NodeStep, ServedDeps } from "./served_types.ts";

/** Status of the answer that replaces one that did not arrive. */
const BACKEND_FAILED_STATUS = 502;

/** Selects a backend server for the call and sends an attempt. */
export function tryAttempt(
  before: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = before.entries.get(exchangeId)!;
  const { service } = call.row;
  const state = recordServiceUse(before, service, nowMs);
  if (call.deadlineMs <= nowMs) {
    return expireEntry(state, exchangeId, nowMs);
  }
  if (!isServiceKnown(state.routing, service)) {
    return createReduction(state, [{ type: "SubscribeService", service }]);
  }
  if (isShed(state, call, nowMs)) {
    return refuseEarly(state, call);
  }
  const attemptId = `${exchangeId}.${call.attemptCount + 1}`;
  const { tried } = call;
  const route = { service, attemptId, tried, nowMs };
  const backend = selectBackend(state.routing, route);
  if (backend === undefined) {
    return endWithAnswer(state, exchangeId, {
      status: 503,
      outcome: call.isNotRun ? "not-run" : "unknown",
      message: `No backend server of ${service} takes work`,
    });
  }
  return sendAttempt(state, call, { attemptId, backend }, nowMs);
}

/** Handles the head of an answer to the current attempt: retries or relays. */
export function answerEntry(
  state: NodeState,
  exchangeId: string,
  answer: AttemptAnswer,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  if (call.attempt === undefined) {
    return createReduction(state);
  }
  const { attemptId } = call.attempt;
  const outcome = answer.outcome ?? "unknown";
  const isRefused = outcome === "not-run";
  const result = isRefused ? "refused" : "answered";
  const { nodeId } = call.attempt!;
  const { kind } = call.row;
  const levels = recordLevel(
    state.levels,
    { nodeId, kind, level: answer.level },
    nowMs,
  );
  const reported = reportAttempt(
    { ...state, levels },
    call,
    { result, ...answer },
    nowMs,
  );
  const next = settleAttempt(reported, exchangeId, {
    tokens: answer.tokens,
    isNotRun: isRefused,
  });
  const mayReroute = answer.isDraining && canReroute(next, exchangeId);
  if (isRefused && mayReroute) {
    const discard: NodeEffect = { type: "DiscardAnswer", attemptId };
    const step = createReduction<NodeState, NodeEffect>(next, [discard]);
    return chainReduction(step, (s) => rerouteEntry(s, exchangeId, nowMs));
  }
  const isBackendFailure = outcome === "unknown" &&
    answer.status === BACKEND_FAILED_STATUS;
  if ((isRefused || isBackendFailure) && canRetry(next, exchangeId, nowMs)) {
    const discard: NodeEffect = { type: "DiscardAnswer", attemptId };
    const step = createReduction<NodeState, NodeEffect>(next, [discard]);
    return chainReduction(step, (s) => retryEntry(s, exchangeId, nowMs));
  }
  return relayAnswer(next, call, call.attempt, answer);
}

/**
 * Handles the failure of a remote attempt. One that may have run, and may not
 * be repeated, is settled only once its receiver reports its status.
 */
export function failEntry(
  state: NodeState,
  exchangeId: string,
  failure: { readonly isSent: boolean; readonly reason: string },
  nowMs: number,
): NodeStep {
  const attempt = state.entries.get(exchangeId)!.attempt;
  if (attempt === undefined || attempt.isBroken) {
    return createReduction(state);
  }
  const { isSent, reason } = failure;
  if (!isSent || canRetryUnknown(state, exchangeId, nowMs)) {
    const settled = { isNotRun: !isSent, isUnsent: !isSent, reason };
    return settleFailure(state, exchangeId, settled, nowMs);
  }
  return requestAttemptStatus(state, exchangeId, { isBroken: true }, nowMs);
}

/** Ends an attempt that got no answer, then retries or ends the call. */
export function settleFailure(
  state: NodeState,
  exchangeId: string,
  settled: {
    readonly isNotRun: boolean;
    /** Whether the receiver provably got nothing, as no connection was made. */
    readonly isUnsent?: boolean;
    readonly reason: string;
  },
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const { isNotRun, reason } = settled;
  const report = { result: "failed", isDraining: false } as const;
  const reported = reportAttempt(state, call, report, nowMs);
  const next = settleAttempt(reported, exchangeId, {
    tokens: isNotRun ? call.attempt!.tokens : 0,
    isNotRun,
  });
  if (settled.isUnsent === true && canReroute(next, exchangeId)) {
    return rerouteEntry(next, exchangeId, nowMs);
  }
  return retryOrEnd(next, exchangeId, {
    status: isNotRun ? 503 : BACKEND_FAILED_STATUS,
    outcome: isNotRun ? "not-run" : "unknown",
    message: `Attempt failed: ${reason}`,
  }, nowMs);
}

/** Applies the result of an attempt at this node's own backend server. */
export function settleLocal(
  state: NodeState,
  attemptId: string,
  result: LocalResult,
  nowMs: number,
): NodeStep {
  const exchangeId = state.entryOfAttempt.get(attemptId);
  if (exchangeId === undefined) {
    return createReduction(state);
  }
  if (result.type === "Answered") {
    const answer: AttemptAnswer = { ...result.answer, outcome: "ran" };
    return answerEntry(state, exchangeId, answer, nowMs);
  }
  const call = state.entries.get(exchangeId)!;
  if (call.attempt === undefined) {
    return createReduction(state);
  }
  const isNotRun = result.type === "Refused";
  const attemptResult = isNotRun ? "refused" : "failed";
  const { loadHint: hintedLoad } = state;
  const report = {
    result: attemptResult,
    isDraining: false,
    hintedLoad,
  } as const;
  const reported = reportAttempt(state, call, report, nowMs);
  const tokens = isNotRun ? call.attempt.tokens : 0;
  const next = settleAttempt(reported, exchangeId, { tokens, isNotRun });
  return retryOrEnd(next, exchangeId, result.answer, nowMs);
}

/** Ends a call whose deadline has passed; one that relays an answer goes on. */
export function expireEntry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId);
  if (call === undefined || call.isRelaying) {
    return createReduction(state);
  }
  const step = abortAttempt(state, exchangeId, createServedDeps(nowMs));
  return chainReduction(step, (next) => {
    const { isNotRun } = next.entries.get(exchangeId)!;
    return endWithAnswer(next, exchangeId, {
      status: 504,
      outcome: isNotRun ? "not-run" : "unknown",
      message: "Deadline passed",
    });
  });
}

/** Creates the dependencies of the steps of served attempts. */
export function createServedDeps(nowMs: number): ServedDeps {
  return { nowMs, settleLocal, cancelChildren };
}

/** Refuses a call that ranks below the admission level of its service. */
function refuseEarly(state: NodeState, call: EntryCall): NodeStep {
  const { exchangeId, context, row } = call;
  const step = endWithAnswer(state, exchangeId, {
    status: 503,
    outcome: "not-run",
    message: `Refused: ${row.service} is overloaded`,
    retryAfterMs: computeRetryAfter(exchangeId, state.admission.level.pressure),
  });
  return appendEffects(step, {
    type: "RecordEvent",
    event: {
      type: "CallRefused",
      requestId: context.rootId,
      kind: row.kind,
      importance: context.importance,
      reason: "early",
    },
  });
}

/** Sends an attempt, with half of the call's retry tokens, to a node. */
function sendAttempt(
  state: NodeState,
  call: EntryCall,
  selected: { readonly attemptId: string; readonly backend: BackendView },
  nowMs: number,
): NodeStep {
  const { attemptId, backend } = selected;
  const { nodeId, service, ingress, incarnation } = backend.announcement;
  const { exchangeId, row } = call;
  const { share, pool } = takeShare(call.pool);
  const attempt: Attempt = {
    attemptId,
    nodeId,
    incarnation,
    address: ingress,
    startedAtMs: nowMs,
    tokens: share,
    heardAtMs: nowMs,
    isAsked: false,
    isBroken: false,
    misses: 0,
  };
  const context: CallContext = {
    ...call.context,
    attemptId,
    remainingMs: computeRemainingMs(call, nowMs),
    retryTokens: share,
    ...(isRepeat(call) ? { isRepeat: true } : {}),
  };
  const counted = countAttempt(state, call, nowMs);
  const next = stepRouting(
    putEntry(counted, {
      ...call,
      pool,
      attempt,
      attemptCount: call.attemptCount + 1,
      isReplacing: false,
      tried: [...call.tried, nodeId],
    }),
    { type: "AttemptStarted", service, nodeId },
    nowMs,
  );
  const requestId = context.rootId;
  const step = createReduction<NodeState, NodeEffect>(next, [{
    type: "RecordEvent",
    event: { type: "AttemptSent", requestId, attemptId, to: nodeId },
  }]);
  if (nodeId === state.self.nodeId) {
    return chainReduction(
      step,
      (s) => admitLocal(s, call, context, nowMs),
    );
  }
  return appendEffects(step, {
    type: "SendAttempt",
    exchangeId,
    attemptId,
    address: ingress,
    peer: "node",
    context,
    maxBodyBytes: row.maxBodyBytes,
  });
}

/** Requests admission of an attempt at this node's own backend server. */
function admitLocal(
  state: NodeState,
  call: EntryCall,
  context: CallContext,
  nowMs: number,
): NodeStep {
  return admitAttempt(state, {
    attemptId: context.attemptId,
    exchangeId: call.exchangeId,
    origin: "local",
    row: call.row,
    context,
    deadlineMs: call.deadlineMs,
    pool: { left: context.retryTokens },
    phase: "queued",
    requestKey: call.requestKey,
    fingerprint: createFingerprint(call.row, call.digest),
  }, createServedDeps(nowMs));
}

/** Retries a call where it may, else ends it with `answer`. */
function retryOrEnd(
  state: NodeState,
  exchangeId: string,
  answer: OwnAnswer,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  if (canRetry(state, exchangeId, nowMs)) {
    return retryEntry(state, exchangeId, nowMs);
  }
  const outcome: CallOutcome = call.isNotRun ? "not-run" : "unknown";
  return endWithAnswer(state, exchangeId, { ...answer, outcome });
}

/** Spends a retry token on the next attempt. */
function retryEntry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const pool = { left: call.pool.left - 1 };
  const next = putEntry(state, { ...call, pool });
  return tryAttempt(next, exchangeId, nowMs);
}

/** Sends the next attempt without a retry token; see `MAX_REROUTES`. */
function rerouteEntry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  return tryAttempt(recordReroute(state, exchangeId), exchangeId, nowMs);
}

/** Starts relaying an answer to the caller; the call is no longer retried. */
function relayAnswer(
  state: NodeState,
  settled: EntryCall,
  relayed: Attempt,
  answer: AttemptAnswer,
): NodeStep {
  const { exchangeId } = settled;
  const { attemptId } = relayed;
  const call = state.entries.get(exchangeId)!;
  const outcome = answer.outcome === "not-run" && !call.isNotRun
    ? "unknown"
    : answer.outcome ?? "unknown";
  const headers = createSignalHeaders({ outcome });
  const entryOfAttempt = setEntry(state.entryOfAttempt, attemptId, exchangeId);
  const next = putEntry({ ...state, entryOfAttempt }, {
    ...call,
    isRelaying: true,
    relayed,
  });
  return createReduction(next, [
    { type: "RelayAnswer", exchangeId, attemptId, headers },
    createCallEndedEffect(call, answer.status, outcome),
  ]);
}

function endWithAnswer(
  state: NodeState,
  exchangeId: string,
  answer: OwnAnswer,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const step = closeEntry(state, exchangeId);
  return appendEffects(
    step,
    createAnswer(exchangeId, answer),
    createCallEndedEffect(call, answer.status, answer.outcome),
  );
}
