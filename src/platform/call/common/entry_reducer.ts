/** Calls at the node where they enter: route, attempt, retry, answer. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { returnShare, takeShare } from "../../retry/common/retry_tokens.ts";
import {
  isServiceKnown,
  reduceRouting,
  selectBackend,
} from "../../routing/common/routing_reducer.ts";
import type {
  AttemptReport,
  BackendView,
  RoutingEvent,
} from "../../routing/common/routing_reducer.ts";
import { selectRow } from "../../table/common/table_match.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import { createAnswer, createSignalHeaders } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import { decodeContext, MAX_DEPTH } from "./call_context.ts";
import type { CallContext, CallOutcome } from "./call_context.ts";
import type {
  AttemptAnswer,
  CallReceived,
  NodeEffect,
  TimerKey,
} from "./call_events.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import { admitAttempt, cancelServed } from "./served_reducer.ts";
import type { LocalResult, NodeStep, ServedDeps } from "./served_reducer.ts";

const NO_BACKEND_RETRY_MS = 1_000;

/** Takes a call from a caller (edge) or the local backend server (egress). */
export function receiveEntry(
  state: NodeState,
  received: CallReceived,
  nowMs: number,
): NodeStep {
  const row = selectRow(state.table, received);
  if (row === undefined) {
    return answerUnread(state, received, {
      status: 404,
      outcome: "not-run",
      message:
        `No kind of request matches ${received.method} ${received.path}; ` +
        `${state.table.rows.length} kinds tried`,
    });
  }
  if ((received.bodyBytes ?? 0) > row.maxBodyBytes) {
    return answerUnread(state, received, {
      status: 413,
      outcome: "not-run",
      message:
        `Body is over ${row.maxBodyBytes} bytes, the limit of ${row.kind}`,
    });
  }
  return openEntry(state, received, row, nowMs);
}

/** Members of `service` are known now: calls that waited for them go on. */
export function resumeEntries(
  state: NodeState,
  service: string,
  nowMs: number,
): NodeStep {
  const waiting = [...state.entries.values()].filter((call) =>
    call.attempt === undefined && call.row.service === service
  );
  return waiting.reduce<NodeStep>(
    (step, call) =>
      chainReduction(step, (s) => tryAttempt(s, call.exchangeId, nowMs)),
    createReduction(state),
  );
}

/** The head of an answer to a remote attempt has arrived. */
export function answerEntry(
  state: NodeState,
  exchangeId: string,
  answer: AttemptAnswer,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const attemptId = call.attempt!.attemptId;
  const outcome = answer.outcome ?? "unknown";
  const isRefused = outcome === "not-run";
  const result = isRefused ? "refused" : "answered";
  const reported = reportAttempt(state, call, { result, ...answer }, nowMs);
  const next = settleAttempt(reported, exchangeId, {
    tokens: answer.tokens,
    isNotRun: isRefused,
  });
  if (isRefused && canRetry(next.entries.get(exchangeId)!)) {
    const discard: NodeEffect = { type: "DiscardAnswer", attemptId };
    const step = createReduction<NodeState, NodeEffect>(next, [discard]);
    return chainReduction(step, (s) => retryEntry(s, exchangeId, nowMs));
  }
  return relayAnswer(next, exchangeId, attemptId, answer);
}

/** A remote attempt brought no answer. */
export function failEntry(
  state: NodeState,
  exchangeId: string,
  failure: { readonly isSent: boolean; readonly reason: string },
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const report = { result: "failed", isDraining: false } as const;
  const reported = reportAttempt(state, call, report, nowMs);
  const { isSent, reason } = failure;
  const next = settleAttempt(reported, exchangeId, {
    tokens: isSent ? 0 : call.attempt!.tokens,
    isNotRun: !isSent,
  });
  return retryOrEnd(next, exchangeId, {
    status: isSent ? 502 : 503,
    outcome: isSent ? "unknown" : "not-run",
    message: `Attempt failed: ${reason}`,
  }, nowMs);
}

/** An attempt at this node's own backend server came to a result. */
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
    const left = state.served.get(attemptId)?.pool.left ?? 0;
    const answer: AttemptAnswer = {
      ...result.answer,
      outcome: "ran",
      tokens: left,
    };
    return answerEntry(state, exchangeId, answer, nowMs);
  }
  const call = state.entries.get(exchangeId)!;
  const isNotRun = result.type === "Refused";
  const kind = isNotRun ? "refused" : "failed";
  const report = { result: kind, isDraining: false } as const;
  const reported = reportAttempt(state, call, report, nowMs);
  const tokens = isNotRun ? call.attempt!.tokens : 0;
  const next = settleAttempt(reported, exchangeId, { tokens, isNotRun });
  return retryOrEnd(next, exchangeId, result.answer, nowMs);
}

/** The relayed answer went through whole, or was cut. */
export function endEntry(
  state: NodeState,
  exchangeId: string,
  isWhole: boolean,
): NodeStep {
  const step = closeEntry(state, exchangeId);
  return isWhole
    ? step
    : appendEffects(step, { type: "DropExchange", exchangeId });
}

/** The caller hung up: everything below is cancelled. */
export function cancelEntry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const step = abortAttempt(state, exchangeId, nowMs);
  return chainReduction(step, (next) => closeEntry(next, exchangeId));
}

/** The time of a call is over. */
export function expireEntry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId);
  if (call === undefined || call.isRelaying) {
    return createReduction(state);
  }
  const isNotRun = call.isNotRun && call.attempt === undefined;
  const step = abortAttempt(state, exchangeId, nowMs);
  return chainReduction(step, (next) =>
    endWithAnswer(next, exchangeId, {
      status: 504,
      outcome: isNotRun ? "not-run" : "unknown",
      message: "Deadline passed",
    }));
}

/** Cancels the calls that a served attempt has made. */
export function cancelChildren(
  state: NodeState,
  parentId: string,
  nowMs: number,
): NodeStep {
  const children = [...state.entries.values()].filter((call) =>
    call.parentId === parentId
  );
  return children.reduce<NodeStep>(
    (step, child) =>
      chainReduction(
        step,
        (s) =>
          appendEffects(cancelEntry(s, child.exchangeId, nowMs), {
            type: "DropExchange",
            exchangeId: child.exchangeId,
          }),
      ),
    createReduction(state),
  );
}

/** Applies an event to the routing view. */
export function stepRouting(state: NodeState, event: RoutingEvent): NodeState {
  return { ...state, routing: reduceRouting(state.routing, event).state };
}

function openEntry(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  nowMs: number,
): NodeStep {
  const { exchangeId, listener } = received;
  if (listener === "ingress") {
    return createReduction(state);
  }
  const opened = listener === "edge"
    ? openRoot(state, exchangeId, row)
    : openChild(state, received, row, nowMs);
  if (opened.type === "Rejected") {
    return answerUnread(state, received, opened.answer);
  }
  const { context, parentId } = opened;
  const deadlineMs = nowMs + Math.min(context.remainingMs, row.timeoutMs);
  const call: EntryCall = {
    exchangeId,
    listener,
    row,
    context,
    parentId,
    deadlineMs,
    pool: { left: context.retryTokens },
    isReplayable: received.isReplayable,
    attempt: undefined,
    attemptCount: 0,
    tried: [],
    isNotRun: true,
    isRelaying: false,
  };
  const key: TimerKey = { owner: "entry", id: exchangeId };
  const step = createReduction<NodeState, NodeEffect>(
    putEntry(opened.state, call),
    [
      { type: "StartTimer", key, atMs: deadlineMs },
      {
        type: "RecordEvent",
        event: {
          type: "CallStarted",
          requestId: context.rootId,
          kind: row.kind,
          depth: context.depth,
        },
      },
    ],
  );
  return chainReduction(step, (s) => tryAttempt(s, exchangeId, nowMs));
}

type Opened =
  | {
    readonly type: "Opened";
    readonly state: NodeState;
    readonly context: CallContext;
    readonly parentId: string | undefined;
  }
  | { readonly type: "Rejected"; readonly answer: OwnAnswer };

function openRoot(
  state: NodeState,
  exchangeId: string,
  row: TableRow,
): Opened {
  const context: CallContext = {
    rootId: exchangeId,
    attemptId: exchangeId,
    importance: row.importance,
    admissionHash: hashText(exchangeId),
    depth: 0,
    remainingMs: row.timeoutMs,
    retryTokens: row.retries,
  };
  return { type: "Opened", state, context, parentId: undefined };
}

/** A call of the local backend server draws on the attempt that it serves. */
function openChild(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  nowMs: number,
): Opened {
  if (received.contextHeader === undefined) {
    const root = openRoot(state, received.exchangeId, { ...row, retries: 0 });
    return root;
  }
  const decoded = decodeContext(received.contextHeader);
  if (decoded.isErr() || decoded.value.depth >= MAX_DEPTH) {
    const reason = decoded.isErr() ? decoded.error.reason : "Call is too deep";
    const message = `Context header is malformed: ${reason}`;
    const answer: OwnAnswer = { status: 400, outcome: "not-run", message };
    return { type: "Rejected", answer };
  }
  const header = decoded.value;
  const parent = state.served.get(header.attemptId);
  if (parent === undefined) {
    const context = { ...header, depth: header.depth + 1, retryTokens: 0 };
    return { type: "Opened", state, context, parentId: undefined };
  }
  const { share, pool } = takeShare(parent.pool);
  const served = setEntry(state.served, parent.attemptId, { ...parent, pool });
  const context: CallContext = {
    ...parent.context,
    depth: parent.context.depth + 1,
    remainingMs: parent.deadlineMs - nowMs,
    retryTokens: share,
  };
  const next = { ...state, served };
  return { type: "Opened", state: next, context, parentId: parent.attemptId };
}

function tryAttempt(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const { service } = call.row;
  if (call.deadlineMs <= nowMs) {
    return expireEntry(state, exchangeId, nowMs);
  }
  if (!isServiceKnown(state.routing, service)) {
    return createReduction(state, [{ type: "SubscribeService", service }]);
  }
  const attemptId = `${exchangeId}.${call.attemptCount + 1}`;
  const { dataCentre } = state.self;
  const { tried } = call;
  const route = { service, dataCentre, attemptId, tried };
  const backend = selectBackend(state.routing, route);
  if (backend === undefined) {
    return endWithAnswer(state, exchangeId, {
      status: 503,
      outcome: call.isNotRun ? "not-run" : "unknown",
      message: `No backend server of ${service} takes work`,
      retryAfterMs: NO_BACKEND_RETRY_MS,
    });
  }
  return sendAttempt(state, call, { attemptId, backend }, nowMs);
}

function sendAttempt(
  state: NodeState,
  call: EntryCall,
  chosen: { readonly attemptId: string; readonly backend: BackendView },
  nowMs: number,
): NodeStep {
  const { attemptId, backend } = chosen;
  const { nodeId, service, ingress } = backend.announcement;
  const { exchangeId, row, deadlineMs } = call;
  const { share, pool } = takeShare(call.pool);
  const attempt: Attempt = {
    attemptId,
    nodeId,
    startedAtMs: nowMs,
    tokens: share,
  };
  const context: CallContext = {
    ...call.context,
    attemptId,
    remainingMs: deadlineMs - nowMs,
    retryTokens: share,
  };
  const next = stepRouting(
    putEntry(state, {
      ...call,
      pool,
      attempt,
      attemptCount: call.attemptCount + 1,
      tried: [...call.tried, nodeId],
    }),
    { type: "AttemptStarted", service, nodeId },
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
  }, createServedDeps(nowMs));
}

/** Creates what the served steps need. */
export function createServedDeps(nowMs: number): ServedDeps {
  return { nowMs, settleLocal };
}

function retryOrEnd(
  state: NodeState,
  exchangeId: string,
  answer: OwnAnswer,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  if (canRetry(call)) {
    return retryEntry(state, exchangeId, nowMs);
  }
  const outcome: CallOutcome = call.isNotRun ? "not-run" : "unknown";
  return endWithAnswer(state, exchangeId, { ...answer, outcome });
}

/** A retry needs a token, the whole body, and harmlessness or proof. */
function canRetry(call: EntryCall): boolean {
  const isHarmless = call.row.idempotent || call.isNotRun;
  return isHarmless && call.isReplayable && call.pool.left > 0;
}

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

/** Takes the attempt off the call, with the tokens that it gave back. */
function settleAttempt(
  state: NodeState,
  exchangeId: string,
  settled: { readonly tokens: number; readonly isNotRun: boolean },
): NodeState {
  const call = state.entries.get(exchangeId)!;
  const attempt = call.attempt!;
  const next = putEntry(state, {
    ...call,
    pool: returnShare(call.pool, attempt.tokens, settled.tokens),
    attempt: undefined,
    isNotRun: call.isNotRun && settled.isNotRun,
  });
  const { attemptId } = attempt;
  return {
    ...next,
    entryOfAttempt: deleteEntry(next.entryOfAttempt, attemptId),
  };
}

function relayAnswer(
  state: NodeState,
  exchangeId: string,
  attemptId: string,
  answer: AttemptAnswer,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const outcome = answer.outcome === "not-run" && !call.isNotRun
    ? "unknown"
    : answer.outcome ?? "unknown";
  const headers = createSignalHeaders({ outcome });
  const entryOfAttempt = setEntry(state.entryOfAttempt, attemptId, exchangeId);
  const next = putEntry({ ...state, entryOfAttempt }, {
    ...call,
    isRelaying: true,
  });
  return createReduction(next, [
    { type: "RelayAnswer", exchangeId, attemptId, headers },
    createEndRecord(call, answer.status, outcome),
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
    createEndRecord(call, answer.status, answer.outcome),
  );
}

function abortAttempt(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const attemptId = findAttempt(call);
  if (attemptId === undefined) {
    return createReduction(state);
  }
  const report = { result: "failed", isDraining: false } as const;
  const next = call.attempt === undefined
    ? state
    : settleAttempt(reportAttempt(state, call, report, nowMs), exchangeId, {
      tokens: 0,
      isNotRun: false,
    });
  if (next.served.has(attemptId)) {
    return cancelServed(next, attemptId, createServedDeps(nowMs));
  }
  return createReduction(next, [{ type: "AbortAttempt", attemptId }]);
}

function findAttempt(call: EntryCall): string | undefined {
  if (call.attempt !== undefined) {
    return call.attempt.attemptId;
  }
  return call.isRelaying
    ? `${call.exchangeId}.${call.attemptCount}`
    : undefined;
}

/** Forgets a call and gives its unused tokens back to its parent. */
function closeEntry(state: NodeState, exchangeId: string): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const key: TimerKey = { owner: "entry", id: exchangeId };
  const lastAttempt = `${exchangeId}.${call.attemptCount}`;
  const next: NodeState = {
    ...state,
    entries: deleteEntry(state.entries, exchangeId),
    entryOfAttempt: deleteEntry(state.entryOfAttempt, lastAttempt),
  };
  const parent = call.parentId === undefined
    ? undefined
    : next.served.get(call.parentId);
  const stop: NodeEffect = { type: "StopTimer", key };
  if (parent === undefined) {
    return createReduction(next, [stop]);
  }
  const given = call.context.retryTokens;
  const pool = returnShare(parent.pool, given, call.pool.left);
  const served = setEntry(next.served, parent.attemptId, { ...parent, pool });
  return createReduction({ ...next, served }, [stop]);
}

function reportAttempt(
  state: NodeState,
  call: EntryCall,
  seen: Pick<AttemptReport, "result" | "isDraining">,
  nowMs: number,
): NodeState {
  const attempt = call.attempt!;
  const report: AttemptReport = {
    service: call.row.service,
    nodeId: attempt.nodeId,
    latencyMs: nowMs - attempt.startedAtMs,
    result: seen.result,
    isDraining: seen.isDraining,
  };
  return stepRouting(state, { type: "AttemptFinished", report });
}

function putEntry(state: NodeState, call: EntryCall): NodeState {
  const entries = setEntry(state.entries, call.exchangeId, call);
  if (call.attempt === undefined) {
    return { ...state, entries };
  }
  const { attemptId } = call.attempt;
  const entryOfAttempt = setEntry(
    state.entryOfAttempt,
    attemptId,
    call.exchangeId,
  );
  return { ...state, entries, entryOfAttempt };
}

function answerUnread(
  state: NodeState,
  received: CallReceived,
  answer: OwnAnswer,
): NodeStep {
  return createReduction(state, [createAnswer(received.exchangeId, answer)]);
}

function createEndRecord(
  call: EntryCall,
  status: number,
  outcome: CallOutcome,
): NodeEffect {
  const requestId = call.context.rootId;
  const { kind } = call.row;
  return {
    type: "RecordEvent",
    event: { type: "CallEnded", requestId, kind, status, outcome },
  };
}
