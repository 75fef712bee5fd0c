/** Sends snapshots in pieces to replicas that the log no longer reaches. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { findConfiguration } from "./configuration.ts";
import type {
  SnapshotChunk,
  SnapshotChunkResponse,
} from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  IncomingSnapshot,
  StepContext,
} from "./consensus_types.ts";
import { acceptLeader } from "./log_acceptance.ts";
import type { Snapshot } from "./log_types.ts";
import { sendNow, sendOnceSynced, writeSnapshot } from "./persistence.ts";
import { updateProgress } from "./progress.ts";
import { lookupTerm, truncateHead } from "./replicated_log.ts";

/** A piece and who sent it. */
export interface ReceivedChunk {
  readonly from: string;
  readonly message: SnapshotChunk;
}

/** Sends the next piece. */
export function sendChunk(
  state: ConsensusState,
  replicaId: string,
): ConsensusStep {
  const { role, snapshot, options } = state;
  const progress = role.type === "Leader"
    ? role.progress.get(replicaId)
    : undefined;
  if (role.type !== "Leader" || !progress || snapshot === undefined) {
    return createReduction(state);
  }
  const { lastIndex, lastTerm, configuration, payload } = snapshot;
  const offsetBytes = progress.snapshotIndex === lastIndex
    ? progress.snapshotOffsetBytes
    : 0;
  const end = offsetBytes + options.snapshotChunkBytes;
  const next = updateProgress(state, replicaId, (p) => ({
    ...p,
    isProbing: true,
    snapshotIndex: lastIndex,
    snapshotOffsetBytes: offsetBytes,
  }));
  return sendNow(next, replicaId, {
    type: "SnapshotChunk",
    term: state.term,
    round: role.round,
    lastIndex,
    lastTerm,
    configuration,
    offsetBytes,
    totalBytes: payload.length,
    payload: payload.subarray(offsetBytes, end),
  });
}

/** Takes a replica's answer to a piece; sends the next where it moved on. */
export function receiveChunkResponse(
  state: ConsensusState,
  from: string,
  message: SnapshotChunkResponse,
): ConsensusStep {
  const { role } = state;
  const progress = role.type === "Leader" ? role.progress.get(from) : undefined;
  const isCurrent = progress !== undefined &&
    progress.isProbing && progress.snapshotIndex === message.lastIndex;
  if (!isCurrent) {
    return createReduction(state);
  }
  const snapshotOffsetBytes = message.nextOffsetBytes;
  const next = updateProgress(state, from, (p) => ({
    ...p,
    snapshotOffsetBytes,
  }));
  // A repeated answer sends nothing, or every copy would be answered.
  return snapshotOffsetBytes > progress.snapshotOffsetBytes
    ? sendChunk(next, from)
    : createReduction(next);
}

/** Takes a piece; installs the snapshot with the last one. */
export function acceptChunk(
  context: StepContext,
  state: ConsensusState,
  chunk: ReceivedChunk,
): ConsensusStep {
  const { from, message } = chunk;
  if (message.term < state.term) {
    return answerChunk(context, state, { from, message, nextOffsetBytes: 0 });
  }
  return chainReduction(
    acceptLeader(context, state, chunk),
    (s) =>
      s.snapshot !== undefined && message.lastIndex <= s.commitIndex
        ? answerInstalled(context, s, chunk)
        : addChunk(context, s, chunk),
  );
}

function addChunk(
  context: StepContext,
  state: ConsensusState,
  chunk: ReceivedChunk,
): ConsensusStep {
  const { from, message } = chunk;
  const before = selectIncoming(state, message);
  if (message.offsetBytes !== before.receivedBytes) {
    const nextOffsetBytes = before.receivedBytes;
    return answerChunk(context, state, { from, message, nextOffsetBytes });
  }
  const receivedBytes = before.receivedBytes + message.payload.length;
  const chunks = [...before.chunks, message.payload];
  const incoming = { ...before, receivedBytes, chunks };
  if (receivedBytes < message.totalBytes) {
    const next = { ...state, incoming };
    const nextOffsetBytes = receivedBytes;
    return answerChunk(context, next, { from, message, nextOffsetBytes });
  }
  const { lastIndex, lastTerm, configuration } = message;
  const payload = mergeChunks(incoming);
  const snapshot = { lastIndex, lastTerm, configuration, payload };
  return chainReduction(
    installSnapshot(state, snapshot),
    (s) => answerInstalled(context, s, chunk),
  );
}

function installSnapshot(
  state: ConsensusState,
  snapshot: Snapshot,
): ConsensusStep {
  const { lastIndex, lastTerm } = snapshot;
  const isKept = lookupTerm(state.log, lastIndex) === lastTerm;
  const log = isKept ? truncateHead(state.log, lastIndex) : {
    baseIndex: lastIndex,
    baseTerm: lastTerm,
    entries: [],
  };
  const next: ConsensusState = {
    ...state,
    log,
    ...findConfiguration(log, snapshot),
    commitIndex: lastIndex,
    incoming: undefined,
  };
  const step = writeSnapshot(next, snapshot, !isKept);
  return appendEffects(step, { type: "InstallSnapshot", snapshot });
}

function selectIncoming(
  state: ConsensusState,
  message: SnapshotChunk,
): IncomingSnapshot {
  const { incoming } = state;
  const { term, lastIndex } = message;
  // Replicas may encode one state machine differently: one sender, one term.
  const isSame = incoming?.term === term && incoming.lastIndex === lastIndex;
  return incoming !== undefined && isSame
    ? incoming
    : { term, lastIndex, receivedBytes: 0, chunks: [] };
}

function mergeChunks(incoming: IncomingSnapshot): Uint8Array {
  const payload = new Uint8Array(incoming.receivedBytes);
  let offset = 0;
  for (const chunk of incoming.chunks) {
    payload.set(chunk, offset);
    offset += chunk.length;
  }
  return payload;
}

function answerChunk(
  context: StepContext,
  state: ConsensusState,
  answer: ReceivedChunk & { readonly nextOffsetBytes: number },
): ConsensusStep {
  const { from, message, nextOffsetBytes } = answer;
  const { round, lastIndex } = message;
  return sendOnceSynced(context, state, {
    to: from,
    message: {
      type: "SnapshotChunkResponse",
      term: state.term,
      round,
      lastIndex,
      nextOffsetBytes,
    },
  });
}

function answerInstalled(
  context: StepContext,
  state: ConsensusState,
  chunk: ReceivedChunk,
): ConsensusStep {
  const { from, message } = chunk;
  return sendOnceSynced(context, state, {
    to: from,
    message: {
      type: "AppendResponse",
      term: state.term,
      round: message.round,
      isAccepted: true,
      matchIndex: message.lastIndex,
      conflictIndex: 0,
      conflictTerm: undefined,
    },
  });
}
