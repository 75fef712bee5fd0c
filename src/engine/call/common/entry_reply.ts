/** Applies the status replies of receivers to the attempts in question. */
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

/**
 * Status of an attempt according to a reply: `lives` is queued or running,
 * `relays` is sending its answer, `answered` has finished or waits for this
 * node to read, `forgotten` is unknown to its receiver, `silent` is no reply.
 */
type AttemptStatus =
  | "lives"
  | "relays"
  | "answered"
  | "not-run"
  | "forgotten"
  | "silent";

/** Consecutive requests without a sign of progress that end an attempt. */
const MAX_MISSED_STATUSES = 2;
/** Time for an answer in transit before the status is requested again. */
const ANSWER_GRACE_MS = 250;

/** Applies the reply to a status request, or its timeout, to each attempt. */
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
        const status = getStatus(found[index]);
        return applyStatus(next, { attemptId, status }, nowMs);
      }),
    createReduction(state),
  );
}

function applyStatus(
  state: NodeState,
  reported: { readonly attemptId: string; readonly status: AttemptStatus },
  nowMs: number,
): NodeStep {
  const { attemptId, status } = reported;
  const exchangeId = state.entryOfAttempt.get(attemptId);
  const call = state.entries.get(exchangeId ?? "");
  const attempt = call?.attempt ?? call?.relayed;
  if (call === undefined || attempt?.attemptId !== attemptId) {
    return createReduction(state);
  }
  const checked: Attempt = { ...attempt, isAsked: false };
  if (call.attempt === undefined) {
    return settleStalledAnswer(state, call, { checked, status });
  }
  return attempt.isBroken
    ? settleBrokenAttempt(state, call.exchangeId, status, nowMs)
    : settleStalledAttempt(state, call, { checked, status }, nowMs);
}

/** Requests the status of a remote attempt whose relayed answer has stalled. */
export function handleStalledAnswer(
  state: NodeState,
  stalled: AnswerQuiet,
  nowMs: number,
): NodeStep {
  const { attemptId, isNew } = stalled;
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

/**
 * Settles an attempt whose connection failed. Only proof that it did not run
 * allows a retry.
 */
function settleBrokenAttempt(
  state: NodeState,
  exchangeId: string,
  status: AttemptStatus,
  nowMs: number,
): NodeStep {
  const isNotRun = status === "not-run";
  const reason = isNotRun
    ? "Connection failed; the attempt did not run"
    : "Connection failed after the request was sent";
  return settleFailure(state, exchangeId, { isNotRun, reason }, nowMs);
}

/**
 * Settles an attempt without an answer: it continues while it runs, else it is
 * abandoned with the outcome that the status proves.
 */
function settleStalledAttempt(
  state: NodeState,
  call: EntryCall,
  reported: { readonly checked: Attempt; readonly status: AttemptStatus },
  nowMs: number,
): NodeStep {
  const { checked, status } = reported;
  if (status === "lives") {
    const confirmed: Attempt = { ...checked, heardAtMs: nowMs, misses: 0 };
    return createReduction(replaceAttempt(state, call, confirmed));
  }
  const misses = checked.misses + 1;
  const isAbandoned = status === "not-run" || status === "forgotten" ||
    misses >= MAX_MISSED_STATUSES;
  if (!isAbandoned) {
    // An answer may be in transit: the status is due again after a grace time.
    const heardAtMs = nowMs - computeStatusDelayMs(call) + ANSWER_GRACE_MS;
    return createReduction(
      replaceAttempt(state, call, { ...checked, heardAtMs, misses }),
    );
  }
  const isNotRun = status === "not-run";
  const reason = `Connection is silent; the receiver says ${status}`;
  const next = isNotRun ? allowReselection(state, call, checked) : state;
  const step = dropConnections(createReduction(next), checked);
  return chainReduction(
    step,
    (s) => settleFailure(s, call.exchangeId, { isNotRun, reason }, nowMs),
  );
}

/**
 * Lets the next attempt replace one that never arrived. The node replied on a
 * new connection, so it may be selected again.
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
 * Settles a relayed answer that has stalled. It is cut where its receiver has
 * finished, waits for this node to read, or can't be reached, in
 * `MAX_MISSED_STATUSES` consecutive requests.
 */
function settleStalledAnswer(
  state: NodeState,
  call: EntryCall,
  reported: { readonly checked: Attempt; readonly status: AttemptStatus },
): NodeStep {
  const { checked, status } = reported;
  const isActive = status === "lives" || status === "relays";
  const misses = isActive ? 0 : checked.misses + 1;
  if (isActive || misses < MAX_MISSED_STATUSES) {
    return createReduction(replaceAttempt(state, call, { ...checked, misses }));
  }
  const { exchangeId } = call;
  const step = dropConnections(closeEntry(state, exchangeId), checked);
  return appendEffects(step, { type: "DropExchange", exchangeId });
}
