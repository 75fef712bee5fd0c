/**
 * Snapshot transfer in chunks, to replicas that lack entries no longer in the
 * log.
 */
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

/** A snapshot chunk and its sender. */
export interface ReceivedChunk {
  readonly from: string;
  readonly message: SnapshotChunk;
}

/** Sends the next chunk of the current snapshot. */
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

/** Receives the response to a chunk; sends the next if the offset advanced. */
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
  // A duplicate response sends nothing; otherwise each copy would cause a
  // chunk.
  return snapshotOffsetBytes > progress.snapshotOffsetBytes
    ? sendChunk(next, from)
    : createReduction(next);
}

/** Accepts a chunk; installs the snapshot once the last one has arrived. */
export function acceptChunk(
  context: StepContext,
  state: ConsensusState,
  chunk: ReceivedChunk,
): ConsensusStep {
  const { from, message } = chunk;
  if (message.term < state.term) {
    return sendChunkResponse(context, state, {
      from,
      message,
      nextOffsetBytes: 0,
    });
  }
  return chainReduction(
    acceptLeader(context, state, chunk),
    (s) =>
      s.snapshot !== undefined && message.lastIndex <= s.commitIndex
        ? sendInstalledResponse(context, s, chunk)
        : addChunk(context, s, chunk),
  );
}

function addChunk(
  context: StepContext,
  state: ConsensusState,
  chunk: ReceivedChunk,
): ConsensusStep {
  const { from, message } = chunk;
  const before = getIncomingSnapshot(state, message);
  if (message.offsetBytes !== before.receivedBytes) {
    const nextOffsetBytes = before.receivedBytes;
    return sendChunkResponse(context, state, {
      from,
      message,
      nextOffsetBytes,
    });
  }
  const receivedBytes = before.receivedBytes + message.payload.length;
  const chunks = [...before.chunks, message.payload];
  const incomingSnapshot = { ...before, receivedBytes, chunks };
  if (receivedBytes < message.totalBytes) {
    const next = { ...state, incomingSnapshot };
    const nextOffsetBytes = receivedBytes;
    return sendChunkResponse(context, next, { from, message, nextOffsetBytes });
  }
  const { lastIndex, lastTerm, configuration } = message;
  const payload = mergeChunks(incomingSnapshot);
  const snapshot = { lastIndex, lastTerm, configuration, payload };
  return chainReduction(
    installSnapshot(state, snapshot),
    (s) => sendInstalledResponse(context, s, chunk),
  );
}

function installSnapshot(
  state: ConsensusState,
  snapshot: Snapshot,
): ConsensusStep {
  const { lastIndex, lastTerm } = snapshot;
  const isLogRetained = lookupTerm(state.log, lastIndex) === lastTerm;
  const log = isLogRetained ? truncateHead(state.log, lastIndex) : {
    baseIndex: lastIndex,
    baseTerm: lastTerm,
    entries: [],
  };
  const next: ConsensusState = {
    ...state,
    log,
    ...findConfiguration(log, snapshot),
    commitIndex: lastIndex,
    incomingSnapshot: undefined,
  };
  const step = writeSnapshot(next, snapshot, !isLogRetained);
  return appendEffects(step, { type: "InstallSnapshot", snapshot });
}

function getIncomingSnapshot(
  state: ConsensusState,
  message: SnapshotChunk,
): IncomingSnapshot {
  const { incomingSnapshot } = state;
  const { term, lastIndex } = message;
  // Replicas may encode the same state machine differently, so all chunks must
  // come from one sender, which the term identifies.
  const isSame = incomingSnapshot?.term === term &&
    incomingSnapshot.lastIndex === lastIndex;
  return incomingSnapshot !== undefined && isSame
    ? incomingSnapshot
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

function sendChunkResponse(
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

function sendInstalledResponse(
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
