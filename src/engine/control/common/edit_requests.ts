/** Completion of edits: they are committed, retried or refused. */
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

/**
 * Answers an edit that this replica committed as leader, by the entry `index`.
 */
export function commitEdit(
  state: ReplicationState,
  { requestId, index }: { readonly requestId: string; readonly index: number },
): ReplicationStep {
  const pending = state.edits.get(requestId);
  if (pending === undefined) {
    return createReduction(state);
  }
  const outcome = state.tableState.answers.get(pending.edit.editId);
  const entry = state.lastApplied.find((applied) => applied.index === index);
  return outcome === undefined
    ? createReduction(state)
    : answerEdit(state, requestId, {
      type: "EditAnswered",
      outcome,
      ...(entry === undefined ? {} : { entry }),
    });
}

/** Receives the leader's answer to a forwarded edit. */
export function receiveReply(
  state: ReplicationState,
  reply: EditReply,
): ReplicationStep {
  const { requestId, result } = reply;
  return result.type === "EditAnswered"
    ? answerEdit(state, requestId, result)
    : retryEdit(state, requestId, result);
}

/**
 * Makes an edit wait for a leader again; its id makes the edit idempotent. An
 * edit forwarded by another replica is refused, and that replica retries it.
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
    return answerEdit(state, requestId, { type: "EditRefused", isUnknown });
  }
  const next = { ...pending, sentTo: undefined, isUnknown };
  return createReduction({
    ...state,
    edits: setEntry(state.edits, requestId, next),
  });
}

/** Refuses the edits that have reached their deadline. */
export function expireEdits(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const expired = [...state.edits].filter(([, edit]) =>
    edit.deadlineMs <= nowMs
  );
  return expired.reduce<ReplicationStep>(
    (step, [requestId, { isUnknown, sentTo }]) =>
      chainReduction(step, (s) =>
        answerEdit(s, requestId, {
          type: "EditRefused",
          isUnknown: isUnknown || sentTo !== undefined,
        })),
    createReduction(state),
  );
}

function answerEdit(
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
