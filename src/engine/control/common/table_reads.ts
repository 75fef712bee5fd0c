/** Completion of linearizable reads of the table. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { ReplicationState, ReplicationStep } from "./replication_state.ts";

/**
 * Completes a read that a quorum confirmed: the table of this replica is
 * current.
 */
export function finishRead(
  state: ReplicationState,
  requestId: string,
): ReplicationStep {
  const { confirmation } = state;
  if (confirmation.requestId === requestId) {
    const confirmedAtMs = confirmation.startedAtMs;
    // Rounds don't overlap: the confirmed one is the last one started.
    const { started } = confirmation.rounds;
    const next = {
      ...confirmation,
      requestId: undefined,
      startedAtMs: confirmedAtMs,
      confirmedAtMs,
      rounds: { started, confirmed: started },
    };
    return createReduction({ ...state, confirmation: next });
  }
  return answerRead(state, requestId, true);
}

/**
 * Makes a failed read wait for a leader again; reads can safely be repeated.
 */
export function failRead(
  state: ReplicationState,
  requestId: string,
): ReplicationStep {
  const { confirmation } = state;
  if (confirmation.requestId === requestId) {
    const next = { ...confirmation, requestId: undefined };
    return createReduction({ ...state, confirmation: next });
  }
  const read = state.reads.get(requestId);
  return createReduction(
    read === undefined ? state : {
      ...state,
      reads: setEntry(state.reads, requestId, { ...read, isWaiting: true }),
    },
  );
}

/** Refuses the reads that have reached their deadline. */
export function expireReads(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const expired = [...state.reads].filter(([, read]) =>
    read.deadlineMs <= nowMs
  );
  return expired.reduce<ReplicationStep>(
    (step, [requestId]) =>
      chainReduction(step, (s) => answerRead(s, requestId, false)),
    createReduction(state),
  );
}

function answerRead(
  state: ReplicationState,
  requestId: string,
  isCurrent: boolean,
): ReplicationStep {
  const read = state.reads.get(requestId);
  if (read === undefined) {
    return createReduction(state);
  }
  const next = { ...state, reads: deleteEntry(state.reads, requestId) };
  return createReduction(next, [
    { type: "AnswerRead", requestId: read.requestId, isCurrent },
  ]);
}
