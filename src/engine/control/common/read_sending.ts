/** Starts linearizable reads of the table, and confirms that it is current. */
import { setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { findLeader } from "../../consensus/common/term.ts";
import { stepConsensus } from "./consensus_step.ts";
import {
  CONFIRM_INTERVAL_MS,
  createRequestId,
  REQUEST_TIMEOUT_MS,
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
  const requestId = createRequestId(state);
  const read: PendingTableRead = {
    requestId: operatorRequestId,
    deadlineMs: nowMs + REQUEST_TIMEOUT_MS,
    isWaiting: true,
  };
  const reads = setEntry(state.reads, requestId, read);
  const next = { ...state, reads, nextRequest: state.nextRequest + 1 };
  return sendRead(next, requestId, nowMs);
}

/** Sends the reads that wait for a leader. */
export function sendWaitingReads(
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

/** Requests that the next confirmation start as soon as possible. */
export function requestConfirmation(state: ReplicationState): ReplicationState {
  const confirmation = { ...state.confirmation, isRequested: true };
  return { ...state, confirmation };
}

/** Starts a read that confirms that the table is current, if one is due. */
export function renewConfirmation(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const {
    requestId,
    startedAtMs,
    confirmedAtMs,
    isRequested,
    rounds,
  } = state.confirmation;
  const intervalMs = state.cluster.discovery?.confirmEveryMs ??
    CONFIRM_INTERVAL_MS;
  const isDue = isRequested || confirmedAtMs === undefined ||
    Math.abs(nowMs - startedAtMs) >= intervalMs;
  if (requestId !== undefined || !isDue || !hasLeader(state)) {
    return createReduction(state);
  }
  const id = createRequestId(state);
  const confirmation = {
    requestId: id,
    startedAtMs: nowMs,
    confirmedAtMs,
    isRequested: false,
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
