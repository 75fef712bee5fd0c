/** Opens entry calls: root requests at the edge, child calls at the egress. */
import { setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { computeAdmissionHash } from "../../admission/common/admission_level.ts";
import { takeShare } from "../../retry/common/retry_tokens.ts";
import { selectRow } from "../../table/common/table_match.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import { createAnswer } from "./answers.ts";
import type { OwnAnswer } from "./answers.ts";
import { checkKey } from "./claim_steps.ts";
import { decodeContext, MAX_DEPTH } from "./call_context.ts";
import type { CallContext } from "./call_context.ts";
import { recordCallee } from "./call_level.ts";
import type { CallReceived, NodeEffect, TimerKey } from "./call_events.ts";
import { tryAttempt } from "./entry_attempts.ts";
import { addChild, putEntry } from "./entry_state.ts";
import type { EntryCall, NodeState } from "./node_state.ts";
import { checkResend } from "./resend_step.ts";
import type { NodeStep } from "./served_types.ts";

/** Result of opening a call: its context, or an answer that rejects it. */
type OpenResult =
  | {
    readonly type: "Opened";
    readonly state: NodeState;
    readonly context: CallContext;
    readonly parentId: string | undefined;
  }
  | { readonly type: "Rejected"; readonly answer: OwnAnswer };

/** Receives a call from a caller or from the local backend server. */
export function receiveEntry(
  state: NodeState,
  received: CallReceived,
  nowMs: number,
): NodeStep {
  const row = selectRow(state.table, received);
  if (row === undefined) {
    return answerImmediately(state, received, {
      status: 404,
      outcome: "not-run",
      message:
        `No kind of request matches ${received.method} ${received.path}; ` +
        `${state.table.rows.length} kinds tried`,
    });
  }
  if ((received.bodyBytes ?? 0) > row.maxBodyBytes) {
    return answerImmediately(state, received, {
      status: 413,
      outcome: "not-run",
      message:
        `Body is over ${row.maxBodyBytes} bytes, the limit of ${row.kind}`,
    });
  }
  const refusal = checkKey(row, received.requestKey);
  if (refusal !== undefined) {
    return answerImmediately(state, received, refusal);
  }
  const checked = checkResend(state, received, row, nowMs);
  return checked.refusal === undefined
    ? openEntry(checked.state, received, row, nowMs)
    : refuseResend(checked.state, received, row, checked.refusal);
}

function refuseResend(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  refusal: OwnAnswer,
): NodeStep {
  const { kind, importance } = row;
  return appendEffects(answerImmediately(state, received, refusal), {
    type: "RecordEvent",
    event: {
      type: "CallRefused",
      requestId: received.exchangeId,
      kind,
      importance,
      reason: "resend",
    },
  });
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
    ? openRoot(state, received, row, nowMs)
    : openChild(state, received, row, nowMs);
  if (opened.type === "Rejected") {
    return answerImmediately(state, received, opened.answer);
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
    rerouteCount: 0,
    isNotRun: true,
    isRelaying: false,
    requestKey: received.requestKey,
    digest: received.digest,
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

function openRoot(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  nowMs: number,
): OpenResult {
  const { exchangeId, admissionKey } = received;
  const context: CallContext = {
    rootId: exchangeId,
    attemptId: exchangeId,
    importance: row.importance,
    admissionHash: computeAdmissionHash({
      key: admissionKey ?? exchangeId,
      share: computeRelativeWeight(state, row),
      nowMs,
    }),
    depth: 0,
    remainingMs: row.timeoutMs,
    retryTokens: row.retries,
  };
  return { type: "Opened", state, context, parentId: undefined };
}

/**
 * Computes the weight of a kind relative to the greatest weight among the kinds
 * of the same service and importance.
 */
function computeRelativeWeight(state: NodeState, row: TableRow): number {
  const { service, importance, weight } = row;
  const weights = state.table.rows
    .filter((r) => r.service === service && r.importance === importance)
    .map((r) => r.weight);
  return weight / Math.max(weight, ...weights);
}

/**
 * Opens a call of the local backend server. It gets its deadline and a share of
 * the retry tokens from the served attempt that made it.
 */
function openChild(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  nowMs: number,
): OpenResult {
  if (received.contextHeader === undefined) {
    return openRoot(state, received, { ...row, retries: 0 }, nowMs);
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
  const called = { kind: parent.row.kind, callee: row.kind };
  const context: CallContext = {
    ...parent.context,
    depth: parent.context.depth + 1,
    remainingMs: parent.deadlineMs - nowMs,
    retryTokens: share,
  };
  const next = addChild(
    recordCallee({ ...state, served }, called, nowMs),
    parent.attemptId,
    received.exchangeId,
  );
  return { type: "Opened", state: next, context, parentId: parent.attemptId };
}

/** Answers a call that was not opened. */
function answerImmediately(
  state: NodeState,
  received: CallReceived,
  answer: OwnAnswer,
): NodeStep {
  return createReduction(state, [createAnswer(received.exchangeId, answer)]);
}
