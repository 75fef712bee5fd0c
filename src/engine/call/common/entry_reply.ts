/** What receivers say of attempts that were asked about, and what follows. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  AttemptPhase,
  AttemptStatusReply,
} from "../../peer/common/peer_messages.ts";
import type { NodeEvent } from "./call_events.ts";
import {
  computeQuietMs,
  dropConnections,
  parseAsk,
  putAttempt,
  suspectAttempt,
} from "./entry_ask.ts";
import { settleFailure } from "./entry_attempts.ts";
import { closeEntry, putEntry } from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

type AnswerQuiet = Extract<NodeEvent, { type: "AnswerQuiet" }>;
type PeerReplied = Extract<NodeEvent, { type: "PeerReplied" }>;

/** What a reply shows of an attempt. */
type Finding =
  | "lives"
  | "relays"
  | "answered"
  | "not-run"
  | "forgotten"
  | "silent";

/** Replies without a sign of life after which an attempt is given up. */
const MAX_MISSES = 2;
/** How long an answer that is on its way may take, in milliseconds. */
const ANSWER_GRACE_MS = 250;

/** The receiver of attempts replied, or did not. */
export function settleAsked(
  state: NodeState,
  replied: PeerReplied,
  nowMs: number,
): NodeStep {
  const { requestId, reply } = replied;
  const found = reply?.type === "AttemptsFound" ? reply.found : [];
  return parseAsk(requestId).reduce<NodeStep>(
    (step, attemptId, index) =>
      chainReduction(step, (next) => {
        const finding = readFinding(found[index]);
        return settleFinding(next, { attemptId, finding }, nowMs);
      }),
    createReduction(state),
  );
}

function settleFinding(
  state: NodeState,
  found: { readonly attemptId: string; readonly finding: Finding },
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
    return settleRelay(state, call, { heard, finding });
  }
  return attempt.isBroken
    ? settleBroken(state, call.exchangeId, finding, nowMs)
    : settleQuiet(state, call, { heard, finding }, nowMs);
}

/** A relayed answer stands still: its receiver is asked whether it goes on. */
export function suspectAnswer(
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
    ? suspectAttempt(state, exchangeId, isNew ? { misses: 0 } : {}, nowMs)
    : createReduction(state);
}

function readFinding(found: AttemptStatusReply | undefined): Finding {
  switch (found?.type) {
    case "AttemptFenced":
      return "not-run";
    case "AttemptForgotten":
      return "forgotten";
    case "AttemptKnown":
      return readPhase(found.phase);
    default:
      return "silent";
  }
}

function readPhase(phase: AttemptPhase): Finding {
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
function settleBroken(
  state: NodeState,
  exchangeId: string,
  finding: Finding,
  nowMs: number,
): NodeStep {
  const isNotRun = finding === "not-run";
  const reason = isNotRun
    ? "Connection failed; the attempt did not run"
    : "Connection failed after the request was sent";
  return settleFailure(state, exchangeId, { isNotRun, reason }, nowMs);
}

/** The attempt is quiet: it lives, or is given up with what is known. */
function settleQuiet(
  state: NodeState,
  call: EntryCall,
  asked: { readonly heard: Attempt; readonly finding: Finding },
  nowMs: number,
): NodeStep {
  const { heard, finding } = asked;
  if (finding === "lives") {
    const alive: Attempt = { ...heard, heardAtMs: nowMs, misses: 0 };
    return createReduction(putAttempt(state, call, alive));
  }
  const misses = heard.misses + 1;
  const isGivenUp = finding === "not-run" || finding === "forgotten" ||
    misses >= MAX_MISSES;
  if (!isGivenUp) {
    // An answer may be on its way: asks again shortly.
    const heardAtMs = nowMs - computeQuietMs(call) + ANSWER_GRACE_MS;
    return createReduction(
      putAttempt(state, call, { ...heard, heardAtMs, misses }),
    );
  }
  const isNotRun = finding === "not-run";
  const reason = `Connection is silent; the receiver says ${finding}`;
  const next = isNotRun ? allowAgain(state, call, heard) : state;
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
function allowAgain(
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
function settleRelay(
  state: NodeState,
  call: EntryCall,
  asked: { readonly heard: Attempt; readonly finding: Finding },
): NodeStep {
  const { heard, finding } = asked;
  const isLive = finding === "lives" || finding === "relays";
  const misses = isLive ? 0 : heard.misses + 1;
  if (isLive || misses < MAX_MISSES) {
    return createReduction(putAttempt(state, call, { ...heard, misses }));
  }
  const { exchangeId } = call;
  const step = dropConnections(closeEntry(state, exchangeId), heard);
  return appendEffects(step, { type: "DropExchange", exchangeId });
}
