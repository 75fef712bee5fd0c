/** What receivers say of attempts that were asked about, and what follows. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  AttemptPhase,
  FoundAttempt,
} from "../../peer/common/peer_messages.ts";
import type { NodeEvent } from "./call_events.ts";
import {
  computeStatusDelayMs,
  dropConnections,
  parseStatusRequestId,
  replaceAttempt,
  requestAttemptStatus,
} from "./entry_ask.ts";
import { settleFailure } from "./entry_attempts.ts";
import { closeEntry, putEntry } from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

type AnswerQuiet = Extract<NodeEvent, { type: "AnswerQuiet" }>;
type PeerReplied = Extract<NodeEvent, { type: "PeerReplied" }>;

/** What a reply shows of an attempt. */
type AttemptStatus =
  | "lives"
  | "relays"
  | "answered"
  | "not-run"
  | "forgotten"
  | "silent";

/** Replies without a sign of life after which an attempt is given up. */
const MAX_MISSED_STATUSES = 2;
/** How long an answer that is on its way may take, in milliseconds. */
const ANSWER_GRACE_MS = 250;

/** The receiver of attempts replied, or did not. */
export function applyStatusReply(
  state: NodeState,
  replied: PeerReplied,
  nowMs: number,
): NodeStep {
  const { requestId, reply } = replied;
  const found = reply?.type === "AttemptsFound" ? reply.found : [];
  return parseStatusRequestId(requestId).reduce<NodeStep>(
    (step, attemptId, index) =>
      chainReduction(step, (next) => {
        const finding = getStatus(found[index]);
        return applyStatus(next, { attemptId, finding }, nowMs);
      }),
    createReduction(state),
  );
}

function applyStatus(
  state: NodeState,
  found: { readonly attemptId: string; readonly finding: AttemptStatus },
  nowMs: number,
): NodeStep {
  const { attemptId, finding } = found;
  const exchangeId = state.entryOfAttempt.get(attemptId);
  const call = state.entries.get(exchangeId ?? "");
  const attempt = call?.attempt ?? call?.relayed;
  if (call === undefined || attempt?.attemptId !== attemptId) {
    return createReduction(state);
  }
  const heard: Attempt = { ...attempt, isAsked: false };
  if (call.attempt === undefined) {
    return settleStalledAnswer(state, call, { heard, finding });
  }
  return attempt.isBroken
    ? settleBrokenAttempt(state, call.exchangeId, finding, nowMs)
    : settleStalledAttempt(state, call, { heard, finding }, nowMs);
}

/** A relayed answer stands still: its receiver is asked whether it goes on. */
export function handleStalledAnswer(
  state: NodeState,
  quiet: AnswerQuiet,
  nowMs: number,
): NodeStep {
  const { attemptId, isNew } = quiet;
  const exchangeId = state.entryOfAttempt.get(attemptId);
  const call = state.entries.get(exchangeId ?? "");
  const isRemote = call?.relayed?.attemptId === attemptId &&
    call.relayed.nodeId !== state.self.nodeId;
  return exchangeId !== undefined && isRemote
    ? requestAttemptStatus(state, exchangeId, isNew ? { misses: 0 } : {}, nowMs)
    : createReduction(state);
}

function getStatus(found: FoundAttempt | undefined): AttemptStatus {
  switch (found?.type) {
    case "AttemptFenced":
      return "not-run";
    case "AttemptForgotten":
      return "forgotten";
    case "AttemptKnown":
      return getPhaseStatus(found.phase);
    default:
      return "silent";
  }
}

function getPhaseStatus(phase: AttemptPhase): AttemptStatus {
  switch (phase) {
    case "queued":
    case "running":
      return "lives";
    case "relaying":
      return "relays";
    case "blocked":
    case "ended":
      return "answered";
  }
}

/** The connection failed: only proof that it did not run helps. */
function settleBrokenAttempt(
  state: NodeState,
  exchangeId: string,
  finding: AttemptStatus,
  nowMs: number,
): NodeStep {
  const isNotRun = finding === "not-run";
  const reason = isNotRun
    ? "Connection failed; the attempt did not run"
    : "Connection failed after the request was sent";
  return settleFailure(state, exchangeId, { isNotRun, reason }, nowMs);
}

/** The attempt is quiet: it lives, or is given up with what is known. */
function settleStalledAttempt(
  state: NodeState,
  call: EntryCall,
  asked: { readonly heard: Attempt; readonly finding: AttemptStatus },
  nowMs: number,
): NodeStep {
  const { heard, finding } = asked;
  if (finding === "lives") {
    const alive: Attempt = { ...heard, heardAtMs: nowMs, misses: 0 };
    return createReduction(replaceAttempt(state, call, alive));
  }
  const misses = heard.misses + 1;
  const isGivenUp = finding === "not-run" || finding === "forgotten" ||
    misses >= MAX_MISSED_STATUSES;
  if (!isGivenUp) {
    // An answer may be on its way: asks again shortly.
    const heardAtMs = nowMs - computeStatusDelayMs(call) + ANSWER_GRACE_MS;
    return createReduction(
      replaceAttempt(state, call, { ...heard, heardAtMs, misses }),
    );
  }
  const isNotRun = finding === "not-run";
  const reason = `Connection is silent; the receiver says ${finding}`;
  const next = isNotRun ? allowReselection(state, call, heard) : state;
  const step = dropConnections(createReduction(next), heard);
  return chainReduction(
    step,
    (s) => settleFailure(s, call.exchangeId, { isNotRun, reason }, nowMs),
  );
}

/**
 * The attempt never arrived: the next one stands for it. The node answered on
 * a new connection, so it may be chosen again.
 */
function allowReselection(
  state: NodeState,
  call: EntryCall,
  attempt: Attempt,
): NodeState {
  const tried = call.tried.filter((nodeId) => nodeId !== attempt.nodeId);
  return putEntry(state, { ...call, tried, isReplacing: true });
}

/**
 * A relayed answer stands still. It is cut where its receiver is done, waits
 * for this node to read, or can't be reached, at two questions in a row.
 */
function settleStalledAnswer(
  state: NodeState,
  call: EntryCall,
  asked: { readonly heard: Attempt; readonly finding: AttemptStatus },
): NodeStep {
  const { heard, finding } = asked;
  const isLive = finding === "lives" || finding === "relays";
  const misses = isLive ? 0 : heard.misses + 1;
  if (isLive || misses < MAX_MISSED_STATUSES) {
    return createReduction(replaceAttempt(state, call, { ...heard, misses }));
  }
  const { exchangeId } = call;
  const step = dropConnections(closeEntry(state, exchangeId), heard);
  return appendEffects(step, { type: "DropExchange", exchangeId });
}
