/** The leader's side of log replication (Raft, 5.3). */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { advanceCommit } from "./commit.ts";
import type { AppendRequest, AppendResponse } from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  LeaderRole,
  ReplicaProgress,
  StepContext,
} from "./consensus_types.ts";
import { sendNow } from "./persistence.ts";
import { updateProgress } from "./progress.ts";
import { settleReads } from "./read_index.ts";
import {
  findLastOfTerm,
  locateLogEnd,
  lookupTerm,
  selectBatch,
} from "./replicated_log.ts";
import { sendChunk } from "./snapshot_transfer.ts";

/** Starts a heartbeat round: sends an append or a chunk to every peer. */
export function sendHeartbeats(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader") {
    return createReduction(state);
  }
  const round = role.round + 1;
  const lastHeartbeatAtMs = context.nowMs;
  const next = { ...state, role: { ...role, round, lastHeartbeatAtMs } };
  const step = [...role.progress.keys()].reduce(
    (sent, id) => chainReduction(sent, (s) => sendEntries(s, id)),
    createReduction(next) as ConsensusStep,
  );
  return chainReduction(step, (s) => settleReads(context, s));
}

/** Sends new entries to the replicas whose matching index is known. */
export function sendNewEntries(
  _context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  if (state.role.type !== "Leader") {
    return createReduction(state);
  }
  return [...state.role.progress.keys()].reduce(
    (sent, id) => chainReduction(sent, (s) => sendPendingEntries(s, id)),
    createReduction(state) as ConsensusStep,
  );
}

/** Receives a replica's response to an append request. */
export function receiveAppendResponse(
  context: StepContext,
  state: ConsensusState,
  response: { readonly from: string; readonly message: AppendResponse },
): ConsensusStep {
  const { from, message } = response;
  const { role } = state;
  const progress = role.type === "Leader" ? role.progress.get(from) : undefined;
  if (role.type !== "Leader" || progress === undefined) {
    return createReduction(state);
  }
  return message.isAccepted
    ? handleAcceptedAppend(context, state, response)
    : handleRejectedAppend(state, role, response);
}

function handleAcceptedAppend(
  context: StepContext,
  state: ConsensusState,
  response: { readonly from: string; readonly message: AppendResponse },
): ConsensusStep {
  const { from, message } = response;
  const before = lookupProgress(state, from);
  if (
    before !== undefined && !before.isProbing &&
    before.matchIndex >= message.matchIndex
  ) {
    return sendPendingEntries(state, from);
  }
  const next = updateProgress(state, from, (progress) => {
    const matchIndex = Math.max(progress.matchIndex, message.matchIndex);
    const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
    return { ...progress, matchIndex, nextIndex, isProbing: false };
  });
  return chainReduction(
    advanceCommit(context, next),
    (s) => sendPendingEntries(s, from),
  );
}

function handleRejectedAppend(
  state: ConsensusState,
  role: LeaderRole,
  response: { readonly from: string; readonly message: AppendResponse },
): ConsensusStep {
  const { from, message } = response;
  const before = role.progress.get(from)!;
  const { conflictTerm, conflictIndex } = message;
  const lastOfTerm = conflictTerm === undefined
    ? undefined
    : findLastOfTerm(state.log, conflictTerm, before.nextIndex - 2);
  const requestedIndex = lastOfTerm === undefined
    ? conflictIndex
    : lastOfTerm + 1;
  const nextIndex = Math.max(before.matchIndex + 1, requestedIndex);
  if (nextIndex >= before.nextIndex) {
    return createReduction(state);
  }
  const next = updateProgress(state, from, (progress) => ({
    ...progress,
    nextIndex,
    isProbing: true,
  }));
  return sendEntries(next, from);
}

/** Sends the entries that a replica lacks, up to the in-flight limit. */
function sendPendingEntries(
  state: ConsensusState,
  replicaId: string,
): ConsensusStep {
  let step: ConsensusStep = createReduction(state);
  while (hasEntriesToSend(step.state, replicaId)) {
    step = chainReduction(step, (s) => sendEntries(s, replicaId));
  }
  return step;
}

function hasEntriesToSend(state: ConsensusState, replicaId: string): boolean {
  const progress = lookupProgress(state, replicaId);
  if (progress === undefined || progress.isProbing) {
    return false;
  }
  const { lastIndex } = locateLogEnd(state.log);
  const inFlight = progress.nextIndex - 1 - progress.matchIndex;
  return progress.nextIndex <= lastIndex &&
    progress.nextIndex > state.log.baseIndex &&
    inFlight < state.options.maxInFlightEntries;
}

function sendEntries(state: ConsensusState, replicaId: string): ConsensusStep {
  const progress = lookupProgress(state, replicaId);
  if (state.role.type !== "Leader" || progress === undefined) {
    return createReduction(state);
  }
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = lookupTerm(state.log, previousIndex);
  // A replica without any entry may also lack the bootstrap snapshot.
  const isFirst = previousIndex === 0 && progress.isProbing;
  if (previousTerm === undefined || isFirst) {
    return sendChunk(state, replicaId);
  }
  const { maxBatchEntries: maxEntries, maxBatchBytes: maxBytes } =
    state.options;
  const entries = selectBatch(state.log, previousIndex, {
    maxEntries,
    maxBytes,
  });
  const message: AppendRequest = {
    type: "AppendRequest",
    term: state.term,
    round: state.role.round,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: state.commitIndex,
  };
  if (progress.isProbing || entries.length === 0) {
    return sendNow(state, replicaId, message);
  }
  const nextIndex = progress.nextIndex + entries.length;
  const next = updateProgress(state, replicaId, (p) => ({ ...p, nextIndex }));
  return sendNow(next, replicaId, message);
}

function lookupProgress(
  state: ConsensusState,
  replicaId: string,
): ReplicaProgress | undefined {
  return state.role.type === "Leader"
    ? state.role.progress.get(replicaId)
    : undefined;
}
