/** Linearizable reads of the table, and the proof that it is current. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { findLeader } from "../../consensus/common/term.ts";
import { stepConsensus } from "./consensus_step.ts";
import {
  CONFIRM_EVERY_MS,
  getRequestId,
  REQUEST_MS,
} from "./replication_state.ts";
import type {
  PendingTableRead,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Starts an operator's read. */
export function startRead(
  state: ReplicationState,
  operatorRequestId: number,
  nowMs: number,
): ReplicationStep {
  const requestId = getRequestId(state);
  const read: PendingTableRead = {
    requestId: operatorRequestId,
    deadlineMs: nowMs + REQUEST_MS,
    isWaiting: true,
  };
  const reads = setEntry(state.reads, requestId, read);
  const next = { ...state, reads, nextRequest: state.nextRequest + 1 };
  return sendRead(next, requestId, nowMs);
}

/** Sends the reads that wait for a leader on their way. */
export function resumeReads(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const waiting = [...state.reads].filter(([, read]) => read.isWaiting);
  return waiting.reduce<ReplicationStep>(
    (step, [requestId]) =>
      chainReduction(step, (s) => sendRead(s, requestId, nowMs)),
    createReduction(state),
  );
}

/** A quorum confirmed the read: the table as it is now is current. */
export function finishRead(
  state: ReplicationState,
  requestId: string,
): ReplicationStep {
  const { confirmation } = state;
  if (confirmation.requestId === requestId) {
    const confirmedAtMs = confirmation.startedAtMs;
    const next = { ...confirmation, requestId: undefined, confirmedAtMs };
    return createReduction({ ...state, confirmation: next });
  }
  return settleRead(state, requestId, true);
}

/** The read waits for a leader again; reading twice does no harm. */
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

/** Refuses the reads whose time is up. */
export function expireReads(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const late = [...state.reads].filter(([, read]) => read.deadlineMs <= nowMs);
  return late.reduce<ReplicationStep>(
    (step, [requestId]) =>
      chainReduction(step, (s) => settleRead(s, requestId, false)),
    createReduction(state),
  );
}

/** Proves anew that the table is current, where that is due. */
export function renewConfirmation(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { requestId, startedAtMs, confirmedAtMs } = state.confirmation;
  const isDue = confirmedAtMs === undefined ||
    Math.abs(nowMs - startedAtMs) >= CONFIRM_EVERY_MS;
  if (requestId !== undefined || !isDue || !hasLeader(state)) {
    return createReduction(state);
  }
  const id = getRequestId(state);
  const confirmation = { requestId: id, startedAtMs: nowMs, confirmedAtMs };
  const next = { ...state, confirmation, nextRequest: state.nextRequest + 1 };
  return stepConsensus(next, { type: "ReadRequested", requestId: id }, nowMs);
}

function sendRead(
  state: ReplicationState,
  requestId: string,
  nowMs: number,
): ReplicationStep {
  if (!hasLeader(state)) {
    return createReduction(state);
  }
  const read = { ...state.reads.get(requestId)!, isWaiting: false };
  const next = { ...state, reads: setEntry(state.reads, requestId, read) };
  return stepConsensus(next, { type: "ReadRequested", requestId }, nowMs);
}

function settleRead(
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

function hasLeader(state: ReplicationState): boolean {
  return findLeader(state.consensus) !== undefined;
}
