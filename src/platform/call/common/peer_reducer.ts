/** Answers to other nodes' questions about attempts. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type {
  PeerMessage,
  PeerReply,
} from "../../peer/common/peer_messages.ts";
import {
  fenceSettled,
  findSettled,
} from "../../retry/common/settled_attempts.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

type FenceAttempt = Extract<PeerMessage, { type: "FenceAttempt" }>;

/** Answers one question. */
export function answerPeer(
  state: NodeState,
  asked: { readonly askId: number; readonly message: PeerMessage },
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const { askId, message } = asked;
  switch (message.type) {
    case "FenceAttempt":
      return fenceAttempt(state, askId, message, nowMs);
  }
}

function fenceAttempt(
  state: NodeState,
  askId: number,
  message: FenceAttempt,
  nowMs: number,
): Reduction<NodeState, NodeEffect> {
  const { attemptId } = message;
  const served = state.served.get(attemptId);
  if (served !== undefined) {
    return reply(state, askId, { type: "AttemptKnown", phase: served.phase });
  }
  const as = findSettled(state.settled, attemptId);
  if (as === "ended") {
    return reply(state, askId, { type: "AttemptKnown", phase: "ended" });
  }
  if (as !== undefined) {
    return reply(state, askId, { type: "AttemptFenced" });
  }
  const isSameProcess = message.incarnation === state.self.incarnation;
  const settled = isSameProcess
    ? fenceSettled(state.settled, message, nowMs)
    : undefined;
  return settled === undefined
    ? reply(state, askId, { type: "AttemptForgotten" })
    : reply({ ...state, settled }, askId, { type: "AttemptFenced" });
}

function reply(
  state: NodeState,
  askId: number,
  answer: PeerReply,
): Reduction<NodeState, NodeEffect> {
  return createReduction(state, [{ type: "AnswerPeer", askId, reply: answer }]);
}
