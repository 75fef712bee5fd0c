/** Replies to the messages of other nodes. */
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type {
  AttemptStatusQuery,
  AttemptStatusReply,
  PeerMessage,
} from "../../peer/common/peer_messages.ts";
import {
  fenceSettled,
  findSettled,
} from "../../retry/common/settled_attempts.ts";
import { answerQuarantine } from "./quarantine_ledger.ts";
import { answerClaimMessage } from "../../claims/common/node_claims.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

type FenceAttempts = Extract<PeerMessage, { type: "FenceAttempts" }>;

/** Handles one message, and replies to it. */
export function answerPeer(
  state: NodeState,
  request: { readonly askId: number; readonly message: PeerMessage },
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const { askId, message } = request;
  if (message.type === "FenceAttempts") {
    return fenceAttempts(state, askId, message, nowMs);
  }
  switch (message.type) {
    case "TellSuspects":
    case "RequestRun":
    case "EndRun":
    case "TellVerdicts":
    case "CheckSuspects":
      return answerQuarantine(state, { askId, message }, nowMs);
  }
  const { incarnation } = state.self;
  const local = { incarnation, nowMs };
  const answered = answerClaimMessage(state.claims, message, local);
  const next = { ...state, claims: answered.claims };
  return createReduction(next, [
    { type: "AnswerPeer", askId, reply: answered.reply },
  ]);
}

/**
 * Reports the phase of each attempt. One that never arrived is fenced, that is,
 * refused if it arrives later: this proves to its sender that it does not run.
 */
function fenceAttempts(
  state: NodeState,
  askId: number,
  message: FenceAttempts,
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const isSameProcess = message.incarnation === state.self.incarnation;
  const statuses: AttemptStatusReply[] = [];
  let next = state;
  for (const attempt of message.attempts) {
    const known = findAttempt(next, attempt.attemptId);
    const settled = known === undefined && isSameProcess
      ? fenceAttempt(next, attempt, nowMs)
      : undefined;
    next = settled ?? next;
    const isFenced = settled !== undefined;
    const type = isFenced ? "AttemptFenced" : "AttemptForgotten";
    statuses.push(known ?? { type });
  }
  return appendEffects(createReduction<NodeState, NodeEffect>(next), {
    type: "AnswerPeer",
    askId,
    reply: { type: "AttemptsFound", found: statuses },
  });
}

/** Returns what is known of an attempt; undefined without a record of it. */
function findAttempt(
  state: NodeState,
  attemptId: string,
): AttemptStatusReply | undefined {
  const served = state.served.get(attemptId);
  if (served !== undefined) {
    return { type: "AttemptKnown", phase: served.phase };
  }
  const settledAs = findSettled(state.settled, attemptId);
  if (settledAs === "ended") {
    return { type: "AttemptKnown", phase: "ended" };
  }
  return settledAs === undefined ? undefined : { type: "AttemptFenced" };
}

/** Fences an attempt; undefined where that would prove nothing. */
function fenceAttempt(
  state: NodeState,
  attempt: AttemptStatusQuery,
  nowMs: number,
): NodeState | undefined {
  const settled = fenceSettled(state.settled, attempt, nowMs);
  return settled === undefined ? undefined : { ...state, settled };
}
