/** Answers to other nodes' questions about attempts. */
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

/** Answers one question. */
export function answerPeer(
  state: NodeState,
  asked: { readonly askId: number; readonly message: PeerMessage },
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const { askId, message } = asked;
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
  const at = { incarnation, nowMs };
  const answered = answerClaimMessage(state.claims, message, at);
  const next = { ...state, claims: answered.claims };
  return createReduction(next, [
    { type: "AnswerPeer", askId, reply: answered.reply },
  ]);
}

function fenceAttempts(
  state: NodeState,
  askId: number,
  message: FenceAttempts,
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const isSameProcess = message.incarnation === state.self.incarnation;
  const found: AttemptStatusReply[] = [];
  let next = state;
  for (const asked of message.attempts) {
    const known = findAttempt(next, asked.attemptId);
    const settled = known === undefined && isSameProcess
      ? fenceAttempt(next, asked, nowMs)
      : undefined;
    next = settled ?? next;
    const isFenced = settled !== undefined;
    const type = isFenced ? "AttemptFenced" : "AttemptForgotten";
    found.push(known ?? { type });
  }
  return appendEffects(createReduction<NodeState, NodeEffect>(next), {
    type: "AnswerPeer",
    askId,
    reply: { type: "AttemptsFound", found },
  });
}

function findAttempt(
  state: NodeState,
  attemptId: string,
): AttemptStatusReply | undefined {
  const served = state.served.get(attemptId);
  if (served !== undefined) {
    return { type: "AttemptKnown", phase: served.phase };
  }
  const as = findSettled(state.settled, attemptId);
  if (as === "ended") {
    return { type: "AttemptKnown", phase: "ended" };
  }
  return as === undefined ? undefined : { type: "AttemptFenced" };
}

function fenceAttempt(
  state: NodeState,
  asked: AttemptStatusQuery,
  nowMs: number,
): NodeState | undefined {
  const settled = fenceSettled(state.settled, asked, nowMs);
  return settled === undefined ? undefined : { ...state, settled };
}
