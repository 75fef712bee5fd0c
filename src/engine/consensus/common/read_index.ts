/** Linearizable reads by read index, without clocks (thesis, 6.4). */
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

/** Who asks for a read. */
export interface ReadRequest {
  readonly requestId: string;
  /** The replica that asks; undefined for this one. */
  readonly from: string | undefined;
}

/** Starts a read at the leader, or passes it on to the leader. */
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
    return createReduction(state, [createFailure(state, request, failure)]);
  }
  if (state.forwardedReads.length >= state.options.maxPendingReads) {
    const failure = { type: "Overloaded" } as const;
    return createReduction(state, [createFailure(state, request, failure)]);
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

/** Answers the reads whose heartbeat round a quorum answered. */
export function settleReads(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader" || role.reads.length === 0) {
    return createReduction(state);
  }
  const known = role.reads.map((read) => ({
    ...read,
    readIndex: read.readIndex ?? pickReadIndex(context, state, role),
  }));
  const isDone = (read: PendingRead) =>
    read.readIndex !== undefined && read.round <= role.round &&
    isConfirmed(context, state, read.round);
  const reads = known.filter((read) => !isDone(read));
  const next = { ...state, role: { ...role, reads } };
  const effects = known.filter(isDone)
    .map((read) => createAnswer(state, read, read.readIndex!));
  return createReduction(next, effects);
}

/** Tells whether reads wait for a round that isn't started. */
export function hasWaitingReads(state: ConsensusState): boolean {
  const { role } = state;
  return role.type === "Leader" && role.reads.length > 0 &&
    role.reads.every((read) => read.round > role.round);
}

/**
 * Tells whether a round for reads may begin: replicas that prove their state
 * by turns would otherwise start a round each, a message to and from every
 * replica, the square of their number in all.
 */
export function isReadRoundDue(
  context: StepContext,
  { role, options }: ConsensusState,
): boolean {
  return role.type === "Leader" &&
    context.nowMs - role.heartbeatAtMs >= options.readGatherMs;
}

/** Takes the leader's answer to a read that was passed on. */
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

/** Answers the passed-on reads whose index is applied. */
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

/** Fails the reads that waited too long. */
export function expireReads(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, forwardedReads, options } = state;
  const isLate = (read: { readonly requestedAtMs: number }) =>
    context.nowMs - read.requestedAtMs >= options.readTimeoutMs;
  const lateForwarded = forwardedReads.filter(isLate);
  const lateReads = role.type === "Leader" ? role.reads.filter(isLate) : [];
  if (lateForwarded.length + lateReads.length === 0) {
    return createReduction(state);
  }
  const next = {
    ...state,
    forwardedReads: forwardedReads.filter((read) => !isLate(read)),
    role: role.type === "Leader"
      ? { ...role, reads: role.reads.filter((read) => !isLate(read)) }
      : role,
  };
  const failure = { type: "TimedOut" } as const;
  const failed = [
    ...lateReads,
    ...lateForwarded.map((read) => ({ ...read, from: undefined })),
  ];
  const effects = failed.map((read) => createFailure(state, read, failure));
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
    return createReduction(state, [createFailure(state, request, failure)]);
  }
  const read: PendingRead = {
    requestId,
    from,
    round: role.round + 1,
    readIndex: pickReadIndex(context, state, role),
    requestedAtMs: context.nowMs,
  };
  const reads = [...role.reads, read];
  return createReduction({ ...state, role: { ...role, reads } });
}

function pickReadIndex(
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

function createAnswer(
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

function createFailure(
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
