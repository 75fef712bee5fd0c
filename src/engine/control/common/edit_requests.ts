/** What becomes of edits: committed, tried again or refused. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  EditReply,
  EditResult,
} from "../../link/common/cluster_messages.ts";
import type { ReplicationState, ReplicationStep } from "./replication_state.ts";

/** Answers an edit that this replica committed as leader. */
export function commitEdit(
  state: ReplicationState,
  requestId: string,
): ReplicationStep {
  const pending = state.edits.get(requestId);
  if (pending === undefined) {
    return createReduction(state);
  }
  const outcome = state.tableState.answers.get(pending.edit.editId);
  return outcome === undefined
    ? createReduction(state)
    : settleEdit(state, requestId, { type: "EditAnswered", outcome });
}

/** Takes the leader's answer to an edit that was forwarded. */
export function receiveReply(
  state: ReplicationState,
  reply: EditReply,
): ReplicationStep {
  const { requestId, result } = reply;
  return result.type === "EditAnswered"
    ? settleEdit(state, requestId, result)
    : retryEdit(state, requestId, result);
}

/**
 * Has an edit wait for a leader again: its id makes a second attempt harmless.
 * One that came from another replica goes back there.
 */
export function retryEdit(
  state: ReplicationState,
  requestId: string,
  failure: { readonly isUnknown: boolean },
): ReplicationStep {
  const pending = state.edits.get(requestId);
  if (pending === undefined) {
    return createReduction(state);
  }
  const isUnknown = pending.isUnknown || failure.isUnknown;
  if (pending.origin.type === "Peer") {
    return settleEdit(state, requestId, { type: "EditRefused", isUnknown });
  }
  const next = { ...pending, sentTo: undefined, isUnknown };
  return createReduction({
    ...state,
    edits: setEntry(state.edits, requestId, next),
  });
}

/** Refuses the edits whose time is up. */
export function expireEdits(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const late = [...state.edits].filter(([, edit]) => edit.deadlineMs <= nowMs);
  return late.reduce<ReplicationStep>(
    (step, [requestId, { isUnknown, sentTo }]) =>
      chainReduction(step, (s) =>
        settleEdit(s, requestId, {
          type: "EditRefused",
          isUnknown: isUnknown || sentTo !== undefined,
        })),
    createReduction(state),
  );
}

function settleEdit(
  state: ReplicationState,
  requestId: string,
  result: EditResult,
): ReplicationStep {
  const pending = state.edits.get(requestId);
  if (pending === undefined) {
    return createReduction(state);
  }
  const { origin } = pending;
  const next = { ...state, edits: deleteEntry(state.edits, requestId) };
  if (origin.type === "Operator") {
    const { requestId: id } = origin;
    const answer = { type: "AnswerEdit", requestId: id, result } as const;
    return createReduction(next, [answer]);
  }
  const message = {
    type: "EditReply",
    requestId: origin.requestId,
    result,
  } as const;
  return createReduction(next, [
    { type: "SendToPeer", peer: origin.peer, message },
  ]);
}
