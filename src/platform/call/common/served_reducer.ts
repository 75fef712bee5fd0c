/** Attempts at the node of the chosen backend server: admit, run, answer. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import { reduceAdmission } from "../../admission/common/admission_reducer.ts";
import type {
  AdmissionEffect,
  AdmissionEvent,
} from "../../admission/common/admission_types.ts";
import { computeRetryAfter } from "../../admission/common/retry_after.ts";
import { EMPTY_POOL } from "../../retry/common/retry_tokens.ts";
import {
  findSettled,
  rememberSettled,
} from "../../retry/common/settled_attempts.ts";
import { selectRow } from "../../table/common/table_match.ts";
import { createAnswer, createSignalHeaders } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import {
  checkKey,
  claimServed,
  endClaim,
  isClaiming,
  isClaimNeeded,
  isClaimWon,
  isReplay,
  NO_HOLDERS,
  withdrawServed,
} from "./claim_steps.ts";
import { decodeContext } from "./call_context.ts";
import { quoteLevel } from "./call_level.ts";
import { computeDownstreamMs } from "./downstream_time.ts";
import type {
  AttemptAnswer,
  CallReceived,
  NodeEffect,
  TimerKey,
} from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import {
  checkSuspect,
  createFingerprint,
  endLease,
  isAwaitingLease,
  noteAbandoned,
} from "./quarantine_steps.ts";
import { MAX_STORED_BYTES } from "../../claims/common/claim_types.ts";

/** A step of the node. */
export type NodeStep = Reduction<NodeState, NodeEffect>;

/** What a served attempt came to, told to the entry call on this node. */
export type LocalResult =
  | { readonly type: "Refused"; readonly answer: OwnAnswer }
  | { readonly type: "Answered"; readonly answer: AttemptAnswer }
  | { readonly type: "Failed"; readonly answer: OwnAnswer };

/** Tells the entry call of a local attempt; passed in, to avoid a cycle. */
export type SettleLocal = (
  state: NodeState,
  attemptId: string,
  result: LocalResult,
  nowMs: number,
) => NodeStep;

/** Cancels the calls that a served attempt made; passed in, as above. */
export type CancelChildren = (
  state: NodeState,
  parentId: string,
  deps: ServedDeps,
) => NodeStep;

/** What the steps of served attempts need besides the state. */
export interface ServedDeps {
  readonly nowMs: number;
  readonly settleLocal: SettleLocal;
  readonly cancelChildren: CancelChildren;
}

/** Takes a call from another node. */
export function receiveIngress(
  state: NodeState,
  call: CallReceived,
  deps: ServedDeps,
): NodeStep {
  const { exchangeId } = call;
  const context = decodeContext(call.contextHeader ?? "");
  if (context.isErr()) {
    return answerAtOnce(state, exchangeId, {
      status: 400,
      outcome: "not-run",
      message: `Context header is malformed: ${context.error.reason}`,
    });
  }
  const refusal = findRepeat(state, context.value.attemptId);
  if (refusal !== undefined) {
    return answerAtOnce(state, exchangeId, refusal);
  }
  const row = selectRow(state.table, call);
  if (row === undefined) {
    return answerAtOnce(state, exchangeId, {
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

/** Answers an attempt id that was here before: none runs twice. */
function findRepeat(
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

/** Puts an attempt before the door of the local backend server. */
export function admitAttempt(
  state: NodeState,
  call: ServedCall,
  deps: ServedDeps,
): NodeStep {
  const { attemptId, context, row, deadlineMs } = call;
  const served = setEntry(state.served, attemptId, call);
  const withCall = { ...state, served };
  if (state.self.isDraining) {
    return refuseServed(withCall, attemptId, {
      status: 503,
      outcome: "not-run",
      message: "Backend server is draining",
      retryAfterMs: computeRetryAfter(attemptId, 0),
      reason: "draining",
    }, deps);
  }
  const key: TimerKey = { owner: "served", id: attemptId };
  const start = createReduction<NodeState, NodeEffect>(withCall, [
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

/** The head of the backend server's answer has arrived. */
export function answerServed(
  state: NodeState,
  attemptId: string,
  answer: AttemptAnswer,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const { left } = call.pool;
  // The tokens go back with this answer, so none may be spent here any more.
  const relaying: ServedCall = { ...call, phase: "relaying", pool: EMPTY_POOL };
  const served = setEntry(state.served, attemptId, relaying);
  // A kept answer says nothing of the backend server's latency.
  const event: AdmissionEvent = isReplay(call)
    ? { type: "RequestFinished", attemptId, result: "cancelled" }
    : {
      type: "RequestAnswered",
      attemptId,
      downstreamMs: computeDownstreamMs(call, deps.nowMs),
    };
  const heard = { ...state, served, backendHeardMs: deps.nowMs };
  const step = stepAdmission(heard, event, deps);
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
    level: quoteLevel(state, call.row.kind, deps.nowMs),
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

/** Whoever asked stopped taking the answer, or goes on. */
export function noteBlocked(
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

/** The backend server did not answer. */
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
    : withdrawServed(state, attemptId);
  const answer: OwnAnswer = {
    status: isSent ? 502 : 503,
    outcome: isSent ? "unknown" : "not-run",
    message: `Backend server did not answer: ${reason}`,
  };
  const noted = chainReduction(
    withdrawn,
    (next) =>
      stepAdmission(
        next,
        { type: "RequestFinished", attemptId, result: "failed" },
        deps,
      ),
  );
  return chainReduction(
    noted,
    (next) => settleServed(next, attemptId, answer, deps),
  );
}

/** The answer went through whole, or was cut (`isWhole` false). */
export function endServed(
  state: NodeState,
  attemptId: string,
  isWhole: boolean,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const { nowMs } = deps;
  const step = chainReduction(
    endLease(state, attemptId, { isWhole, nowMs }),
    (next) => releaseServed(next, attemptId, deps),
  );
  const { exchangeId, origin } = call;
  return isWhole || origin === "local"
    ? step
    : appendEffects(step, { type: "DropExchange", exchangeId });
}

/**
 * Whoever asked is gone: frees the slot and cancels the work. A claimed one
 * runs on to its deadline, so that a resend of its key gets the whole answer.
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
  const left = isUnsent(state, call)
    ? state
    : noteAbandoned(state, call, deps.nowMs);
  const step = releaseServed(left, attemptId, deps);
  return call.phase === "queued"
    ? step
    : appendEffects(step, { type: "AbortAttempt", attemptId });
}

/** The time of an attempt is over. */
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
  const left = isNotRun ? state : noteAbandoned(state, call, deps.nowMs);
  const step = settleServed(left, attemptId, {
    status: 504,
    outcome: isNotRun ? "not-run" : "unknown",
    message: "Deadline passed",
  }, deps);
  return isNotRun ? step : appendEffects(step, ...createAborts(state, call));
}

/**
 * Aborts an attempt whose time is over. Where the backend server has answered
 * nothing since the attempt came, its other connections may be silent too:
 * later attempts use new ones.
 */
function createAborts(
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

/** Whether the backend server has seen nothing of an attempt yet. */
export function isUnsent(state: NodeState, call: ServedCall): boolean {
  const { attemptId, phase } = call;
  return phase === "queued" || isClaiming(state, attemptId) ||
    isAwaitingLease(state, attemptId);
}

function isAnswered(call: ServedCall): boolean {
  return call.phase === "relaying" || call.phase === "blocked";
}

/** Time has passed: queued requests may have to go, or may run. */
export function updateServed(state: NodeState, deps: ServedDeps): NodeStep {
  return stepAdmission(state, { type: "Ticked" }, deps);
}

function stepAdmission(
  state: NodeState,
  event: AdmissionEvent,
  deps: ServedDeps,
): NodeStep {
  const step = reduceAdmission(state.admission, event, deps.nowMs);
  const next = { ...state, admission: step.state };
  return step.effects.reduce<NodeStep>(
    (done, effect) =>
      chainReduction(done, (s) => applyAdmission(s, effect, deps)),
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
      refuseServed(next, attemptId, NO_HOLDERS, deps)
    : sendServed(next, attemptId, deps);
}

/** Hands an attempt to the local backend server. */
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
      withdrawServed(state, attemptId),
      (next) => refuseServed(next, attemptId, suspect.answer, deps),
    );
  }
  const remainingMs = deadlineMs - deps.nowMs;
  const collecting = isClaimNeeded(call)
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
      ...collecting,
    },
  ]);
}

/** Ends an attempt that did not run. */
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

/** Ends an attempt with an answer of the node's own. */
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
    level: quoteLevel(step.state, call.row.kind, deps.nowMs),
    load: state.loadHint,
  };
  return appendEffects(step, createAnswer(call.exchangeId, answer, signals));
}

function releaseServed(
  state: NodeState,
  attemptId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.served.get(attemptId)!;
  const key: TimerKey = { owner: "served", id: attemptId };
  const served = deleteEntry(state.served, attemptId);
  const isQueued = call.phase === "queued";
  const as = isUnsent(state, call) ? "refused" : "ended";
  const settled = rememberSettled(
    state.settled,
    { attemptId, as },
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
    ? withdrawServed(released, attemptId)
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

function answerAtOnce(
  state: NodeState,
  exchangeId: string,
  answer: OwnAnswer,
): NodeStep {
  const isDraining = state.self.isDraining;
  const effect = createAnswer(exchangeId, answer, { tokens: 0, isDraining });
  return createReduction(state, [effect]);
}
