/** Linearizable reads of the table, and the proof that it is current. */
import { setEntry } from "../../../base/common/maps.ts";
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

/** Has the next proof begin as soon as it can. */
export function requestConfirmation(state: ReplicationState): ReplicationState {
  const confirmation = { ...state.confirmation, isWanted: true };
  return { ...state, confirmation };
}

/** Proves anew that the table is current, where that is due. */
export function renewConfirmation(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { requestId, startedAtMs, confirmedAtMs, isWanted, rounds } =
    state.confirmation;
  const everyMs = state.cluster.discovery?.confirmEveryMs ?? CONFIRM_EVERY_MS;
  const isDue = isWanted || confirmedAtMs === undefined ||
    Math.abs(nowMs - startedAtMs) >= everyMs;
  if (requestId !== undefined || !isDue || !hasLeader(state)) {
    return createReduction(state);
  }
  const id = getRequestId(state);
  const confirmation = {
    requestId: id,
    startedAtMs: nowMs,
    confirmedAtMs,
    isWanted: false,
    rounds: { ...rounds, started: rounds.started + 1 },
  };
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

function hasLeader(state: ReplicationState): boolean {
  return findLeader(state.consensus) !== undefined;
}
