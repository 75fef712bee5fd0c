/** Answers to other nodes' questions about attempts. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type {
  PeerMessage,
  PeerReply,
} from "../../peer/common/peer_messages.ts";
import { answerClaimMessage } from "../../claims/common/node_claims.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

/** Settled attempt ids that a node remembers. */
export const MAX_SETTLED = 4_096;

/** Answers one question. */
export function answerPeer(
  state: NodeState,
  askId: number,
  message: PeerMessage,
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  if (message.type === "FenceAttempt") {
    return fenceAttempt(state, askId, message.attemptId);
  }
  const { incarnation } = state.self;
  const at = { incarnation, nowMs };
  const answered = answerClaimMessage(state.claims, message, at);
  const next = { ...state, claims: answered.claims };
  return reply(next, askId, answered.reply);
}

/** Remembers a settled attempt; the oldest one is forgotten first. */
export function rememberSettled(
  settled: NodeState["settled"],
  attemptId: string,
  how: "ended" | "fenced",
): NodeState["settled"] {
  const next = new Map(settled);
  next.set(attemptId, how);
  for (const oldest of next.keys()) {
    if (next.size <= MAX_SETTLED) {
      break;
    }
    next.delete(oldest);
  }
  return next;
}

function fenceAttempt(
  state: NodeState,
  askId: number,
  attemptId: string,
): Reduction<NodeState, NodeEffect> {
  const served = state.served.get(attemptId);
  if (served !== undefined) {
    return reply(state, askId, { type: "AttemptKnown", phase: served.phase });
  }
  if (state.settled.get(attemptId) === "ended") {
    return reply(state, askId, { type: "AttemptKnown", phase: "ended" });
  }
  const settled = rememberSettled(state.settled, attemptId, "fenced");
  return reply({ ...state, settled }, askId, { type: "AttemptFenced" });
}

function reply(
  state: NodeState,
  askId: number,
  answer: PeerReply,
): Reduction<NodeState, NodeEffect> {
  return createReduction(state, [{ type: "AnswerPeer", askId, reply: answer }]);
}
