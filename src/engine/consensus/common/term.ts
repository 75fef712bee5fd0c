/** Term changes, role changes and the election timeout. */
import { hashText } from "../../../base/common/hash.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { ConsensusEffect, ConsensusFailure } from "./consensus_events.ts";
import type {
  ConsensusState,
  ConsensusStep,
  Role,
  StepContext,
} from "./consensus_types.ts";
import { writeHardState } from "./persistence.ts";

/** The leader that a replica follows (undefined while unknown) and its term. */
export interface Following {
  readonly term: number;
  readonly leaderId: string | undefined;
}

/**
 * Becomes a follower in `term`, which must not be older than the current one.
 */
export function startFollowing(
  context: StepContext,
  state: ConsensusState,
  following: Following,
): ConsensusStep {
  const { term, leaderId } = following;
  const isNewTerm = term > state.term;
  const votedFor = isNewTerm ? undefined : state.votedFor;
  const role: Role = { type: "Follower", leaderId };
  const moved = { ...state, term, votedFor };
  const next = state.role.type === "Leader"
    ? resetElectionTimeout(context, moved)
    : moved;
  const step = updateRole(next, role, state.role);
  return isNewTerm
    ? chainReduction(step, (s) => writeHardState(context, s))
    : step;
}

/**
 * Changes the role. Emits LeaderChanged if the known leader changed, and fails
 * pending proposals and reads if this replica was the leader.
 */
export function updateRole(
  state: ConsensusState,
  role: Role,
  before: Role = state.role,
): ConsensusStep {
  const next = { ...state, role };
  const leaderId = findLeader(next);
  const step = createReduction<ConsensusState, ConsensusEffect>(
    next,
    before.type === "Leader" && role.type !== "Leader"
      ? failPending({ ...state, role: before }, { type: "OutcomeUnknown" })
      : [],
  );
  const isLeaderUnchanged = leaderId === findLeader({ ...state, role: before });
  return isLeaderUnchanged ? step : appendEffects(step, {
    type: "LeaderChanged",
    term: state.term,
    leaderId,
  });
}

/** Returns the leader of the current term; undefined while unknown. */
export function findLeader(state: ConsensusState): string | undefined {
  switch (state.role.type) {
    case "Leader":
      return state.replicaId;
    case "Follower":
      return state.role.leaderId;
    case "PreCandidate":
    case "Candidate":
      return undefined;
  }
}

/**
 * Restarts the election timeout. The random part is a hash of replica, term and
 * attempt, so that replaying the same events gives the same timeout.
 */
export function resetElectionTimeout(
  context: StepContext,
  state: ConsensusState,
): ConsensusState {
  const electionAttempts = state.electionAttempts + 1;
  const timeoutMs = computeElectionTimeoutMs(state, electionAttempts);
  const key = `${state.replicaId}:${state.term}:${electionAttempts}`;
  const drawnElectionTimeoutMs = timeoutMs + hashText(key) % timeoutMs;
  const electionDeadlineMs = context.nowMs + drawnElectionTimeoutMs;
  return {
    ...state,
    electionAttempts,
    drawnElectionTimeoutMs,
    electionDeadlineMs,
  };
}

/**
 * Computes the lower bound of the election timeout. A replica that has received
 * no leader message since its start uses a short one: after a crash of all
 * replicas nothing is served before the first election, and if there is a
 * leader, the other voters refuse the pre-vote. Each further attempt doubles
 * the bound, so that it comes to exceed the round-trip time.
 */
function computeElectionTimeoutMs(
  { options, lastLeaderMessageAtMs, role }: ConsensusState,
  attempts: number,
): number {
  const { electionTimeoutMs, firstElectionTimeoutMs } = options;
  const isFirst = lastLeaderMessageAtMs === undefined && role.type !== "Leader";
  return isFirst
    ? Math.min(electionTimeoutMs, firstElectionTimeoutMs * 2 ** (attempts - 1))
    : electionTimeoutMs;
}

function failPending(
  state: ConsensusState,
  failure: ConsensusFailure,
): readonly ConsensusEffect[] {
  if (state.role.type !== "Leader") {
    return [];
  }
  const { proposals, reads } = state.role;
  const { term } = state;
  return [
    ...proposals.map(({ requestId }): ConsensusEffect => ({
      type: "ProposalFailed",
      requestId,
      failure,
    })),
    ...reads.map(({ requestId, from }): ConsensusEffect =>
      from === undefined
        ? {
          type: "ReadFailed",
          requestId,
          failure: { type: "NotLeader", leaderId: undefined },
        }
        : {
          type: "SendMessage",
          to: from,
          message: {
            type: "ReadIndexResponse",
            term,
            requestId,
            readIndex: undefined,
          },
        }
    ),
  ];
}
