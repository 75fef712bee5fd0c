/** Moves between terms, and out of leadership. */
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

/** Whom a replica follows, and in which term. */
export interface Following {
  readonly term: number;
  readonly leaderId: string | undefined;
}

/** Follows a leader, or none, in a term that is not older than its own. */
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

/** Changes the role; says so where the leader changed. */
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
  const isKnown = leaderId === findLeader({ ...state, role: before });
  return isKnown ? step : appendEffects(step, {
    type: "LeaderChanged",
    term: state.term,
    leaderId,
  });
}

/** Finds the leader that this replica knows of. */
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

/** Starts the election timeout anew; drawn by a hash, so that it replays. */
export function resetElectionTimeout(
  context: StepContext,
  state: ConsensusState,
): ConsensusState {
  const electionAttempts = state.electionAttempts + 1;
  const timeoutMs = computeElectionTimeoutMs(state, electionAttempts);
  const key = `${state.replicaId}:${state.term}:${electionAttempts}`;
  const electionWaitMs = timeoutMs + hashText(key) % timeoutMs;
  const electionDeadlineMs = context.nowMs + electionWaitMs;
  return { ...state, electionAttempts, electionWaitMs, electionDeadlineMs };
}

/**
 * A replica that has heard no leader since its start waits little: after a
 * fault that ended all replicas nobody serves before the first election, and
 * where there is a leader the others refuse the pre-vote. Attempts that fail
 * double the wait, so that it outgrows any round trip.
 */
function computeElectionTimeoutMs(
  { options, leaderHeardAtMs, role }: ConsensusState,
  attempts: number,
): number {
  const { electionTimeoutMs, firstElectionTimeoutMs } = options;
  const isFirst = leaderHeardAtMs === undefined && role.type !== "Leader";
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
