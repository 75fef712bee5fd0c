/**
 * Linearizable reads by read index, which need no clocks (Ongaro 2014, 6.4).
 * The leader takes its commit index, confirms its leadership by a heartbeat
 * round, and answers; the reader answers once it has applied that index.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ConsensusEffect, ConsensusFailure } from "./consensus_events.ts";
import type { ReadIndexResponse } from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  LeaderRole,
  PendingRead,
  StepContext,
} from "./consensus_types.ts";
import { countVoters, selectReplicas } from "./quorum.ts";
import { findLeader } from "./term.ts";

/** A read request. */
export interface ReadRequest {
  readonly requestId: string;
  /** The replica that forwarded the read; undefined if it is local. */
  readonly from: string | undefined;
}

/** Starts a read as leader, or forwards it to the leader. */
export function startRead(
  context: StepContext,
  state: ConsensusState,
  request: ReadRequest,
): ConsensusStep {
  if (state.role.type === "Leader") {
    return addRead(context, state, { ...request, role: state.role });
  }
  const { requestId, from } = request;
  const leaderId = findLeader(state);
  if (from !== undefined || leaderId === undefined) {
    const failure = { type: "NotLeader", leaderId } as const;
    return createReduction(state, [createReadFailure(state, request, failure)]);
  }
  if (state.forwardedReads.length >= state.options.maxPendingReads) {
    const failure = { type: "Overloaded" } as const;
    return createReduction(state, [createReadFailure(state, request, failure)]);
  }
  const read = {
    requestId,
    requestedAtMs: context.nowMs,
    readIndex: undefined,
  };
  const forwardedReads = [...state.forwardedReads, read];
  return createReduction({ ...state, forwardedReads }, [{
    type: "SendMessage",
    to: leaderId,
    message: { type: "ReadIndexRequest", term: state.term, requestId },
  }]);
}

/** Answers the reads whose heartbeat round a quorum has acknowledged. */
export function settleReads(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader" || role.reads.length === 0) {
    return createReduction(state);
  }
  const indexed = role.reads.map((read) => ({
    ...read,
    readIndex: read.readIndex ?? getReadIndex(context, state, role),
  }));
  const isDone = (read: PendingRead) =>
    read.readIndex !== undefined && read.round <= role.round &&
    isConfirmed(context, state, read.round);
  const reads = indexed.filter((read) => !isDone(read));
  const next = { ...state, role: { ...role, reads } };
  const effects = indexed.filter(isDone)
    .map((read) => createReadAnswer(state, read, read.readIndex!));
  return createReduction(next, effects);
}

/** Returns whether all pending reads wait for a round not yet started. */
export function hasWaitingReads(state: ConsensusState): boolean {
  const { role } = state;
  return role.type === "Leader" && role.reads.length > 0 &&
    role.reads.every((read) => read.round > role.round);
}

/**
 * Returns whether a round for reads may start. The gathering interval limits
 * their rate: if replicas confirm their state with a read each, one after the
 * other, each read would start a round with a message to and from every
 * replica, quadratic in the number of replicas.
 */
export function isReadRoundDue(
  context: StepContext,
  { role, options }: ConsensusState,
): boolean {
  return role.type === "Leader" &&
    context.nowMs - role.lastHeartbeatAtMs >= options.readGatherMs;
}

/** Receives the leader's answer to a forwarded read. */
export function receiveReadIndex(
  state: ConsensusState,
  message: ReadIndexResponse,
): ConsensusStep {
  const { requestId, readIndex } = message;
  const isKnown = state.forwardedReads.some((r) => r.requestId === requestId);
  if (!isKnown) {
    return createReduction(state);
  }
  if (readIndex === undefined) {
    const forwardedReads = state.forwardedReads
      .filter((read) => read.requestId !== requestId);
    return createReduction({ ...state, forwardedReads }, [{
      type: "ReadFailed",
      requestId,
      failure: { type: "NotLeader", leaderId: findLeader(state) },
    }]);
  }
  const forwardedReads = state.forwardedReads.map((read) =>
    read.requestId === requestId ? { ...read, readIndex } : read
  );
  return settleForwardedReads({ ...state, forwardedReads });
}

/** Answers the forwarded reads whose read index is applied. */
export function settleForwardedReads(state: ConsensusState): ConsensusStep {
  const { commitIndex, forwardedReads } = state;
  const isDone = (read: { readonly readIndex: number | undefined }) =>
    read.readIndex !== undefined && read.readIndex <= commitIndex;
  if (!forwardedReads.some(isDone)) {
    return createReduction(state);
  }
  const waiting = forwardedReads.filter((read) => !isDone(read));
  return createReduction<ConsensusState, ConsensusEffect>(
    { ...state, forwardedReads: waiting },
    forwardedReads.filter(isDone).map(({ requestId, readIndex }) => ({
      type: "ReadReady",
      requestId,
      readIndex: readIndex!,
    })),
  );
}

/** Fails the reads that have waited for `readTimeoutMs`. */
export function expireReads(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, forwardedReads, options } = state;
  const isExpired = (read: { readonly requestedAtMs: number }) =>
    context.nowMs - read.requestedAtMs >= options.readTimeoutMs;
  const expiredForwarded = forwardedReads.filter(isExpired);
  const expiredReads = role.type === "Leader"
    ? role.reads.filter(isExpired)
    : [];
  if (expiredForwarded.length + expiredReads.length === 0) {
    return createReduction(state);
  }
  const next = {
    ...state,
    forwardedReads: forwardedReads.filter((read) => !isExpired(read)),
    role: role.type === "Leader"
      ? { ...role, reads: role.reads.filter((read) => !isExpired(read)) }
      : role,
  };
  const failure = { type: "TimedOut" } as const;
  const failed = [
    ...expiredReads,
    ...expiredForwarded.map((read) => ({ ...read, from: undefined })),
  ];
  const effects = failed.map((read) => createReadFailure(state, read, failure));
  return createReduction(next, effects);
}

function addRead(
  context: StepContext,
  state: ConsensusState,
  request: ReadRequest & { readonly role: LeaderRole },
): ConsensusStep {
  const { requestId, from, role } = request;
  if (role.reads.length >= state.options.maxPendingReads) {
    const failure = { type: "Overloaded" } as const;
    return createReduction(state, [createReadFailure(state, request, failure)]);
  }
  const read: PendingRead = {
    requestId,
    from,
    round: role.round + 1,
    readIndex: getReadIndex(context, state, role),
    requestedAtMs: context.nowMs,
  };
  const reads = [...role.reads, read];
  return createReduction({ ...state, role: { ...role, reads } });
}

function getReadIndex(
  context: StepContext,
  state: ConsensusState,
  role: LeaderRole,
): number | undefined {
  return context.rules.canReadAt(state.commitIndex, role.firstIndex)
    ? state.commitIndex
    : undefined;
}

function isConfirmed(
  context: StepContext,
  state: ConsensusState,
  round: number,
): boolean {
  if (state.role.type !== "Leader") {
    return false;
  }
  const acked = selectReplicas(
    state,
    state.role,
    (progress) => progress.ackedRound >= round,
  );
  return context.rules.isReadConfirmed(countVoters(context, state, acked));
}

function createReadAnswer(
  state: ConsensusState,
  read: PendingRead,
  readIndex: number,
): ConsensusEffect {
  const { requestId, from } = read;
  const { term } = state;
  return from === undefined ? { type: "ReadReady", requestId, readIndex } : {
    type: "SendMessage",
    to: from,
    message: { type: "ReadIndexResponse", term, requestId, readIndex },
  };
}

function createReadFailure(
  state: ConsensusState,
  request: ReadRequest,
  failure: ConsensusFailure,
): ConsensusEffect {
  const { requestId, from } = request;
  const { term } = state;
  return from === undefined ? { type: "ReadFailed", requestId, failure } : {
    type: "SendMessage",
    to: from,
    message: {
      type: "ReadIndexResponse",
      term,
      requestId,
      readIndex: undefined,
    },
  };
}
