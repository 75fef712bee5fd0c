/**
 * Leader election with pre-vote and leader stickiness (Ongaro 2014, 3.4, 9.6).
 * Stickiness: a replica with an active leader refuses to vote.
 */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  PreVoteRequest,
  PreVoteResponse,
  VoteRequest,
  VoteResponse,
} from "./consensus_messages.ts";
import type {
  CandidateRole,
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import { startLeadership } from "./leadership.ts";
import { sendNow, sendOnceSynced, writeHardState } from "./persistence.ts";
import { hasQuorum, isVoter, listCounted } from "./quorum.ts";
import { locateLogEnd } from "./replicated_log.ts";
import { resetElectionTimeout, startFollowing, updateRole } from "./term.ts";

/**
 * Starts a pre-vote if the election timeout elapsed without a leader message.
 */
export function checkElectionTimeout(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  if (context.nowMs < state.electionDeadlineMs) {
    return createReduction(state);
  }
  const next = resetElectionTimeout(context, state);
  return isVoter(state)
    ? startPreVote(context, next)
    : updateRole(next, { type: "Follower", leaderId: undefined });
}

/** Starts an election in a new term, and votes for this replica. */
export function startElection(
  context: StepContext,
  state: ConsensusState,
  isTransfer: boolean,
): ConsensusStep {
  const role: CandidateRole = { type: "Candidate", votes: new Set() };
  const term = state.term + 1;
  const raised = { ...state, term, votedFor: state.replicaId };
  let step = chainReduction(
    updateRole(resetElectionTimeout(context, raised), role, state.role),
    (s) => writeHardState(context, s),
  );
  const request: VoteRequest = {
    type: "VoteRequest",
    term,
    ...locateLogEnd(state.log),
    isTransfer,
  };
  const own: VoteResponse = { type: "VoteResponse", term, isGranted: true };
  for (const to of listCounted(context, state)) {
    const message = to === state.replicaId ? own : request;
    step = chainReduction(
      step,
      (s) => sendOnceSynced(context, s, { to, message }),
    );
  }
  return step;
}

/** Answers a pre-vote request; neither the term nor the vote changes. */
export function answerPreVote(
  context: StepContext,
  state: ConsensusState,
  request: { readonly from: string; readonly message: PreVoteRequest },
): ConsensusStep {
  const { from, message } = request;
  const isGranted = message.term > state.term &&
    !hasActiveLeader(context, state) &&
    context.rules.isUpToDate(message, locateLogEnd(state.log));
  return sendOnceSynced(context, state, {
    to: from,
    message: {
      type: "PreVoteResponse",
      term: state.term,
      proposedTerm: message.term,
      isGranted,
    },
  });
}

/** Counts a granted pre-vote; starts the election once a quorum granted one. */
export function receivePreVote(
  context: StepContext,
  state: ConsensusState,
  response: { readonly from: string; readonly message: PreVoteResponse },
): ConsensusStep {
  const { from, message } = response;
  if (message.term > state.term) {
    const { term } = message;
    return startFollowing(context, state, { term, leaderId: undefined });
  }
  const isCurrent = state.role.type === "PreCandidate" &&
    message.proposedTerm === state.term + 1;
  if (!isCurrent || !message.isGranted) {
    return createReduction(state);
  }
  const next = addVote(state, from);
  return hasVotes(context, next)
    ? startElection(context, next, false)
    : createReduction(next);
}

/** Answers a vote request; ignores it while a leader is active. */
export function answerVote(
  context: StepContext,
  state: ConsensusState,
  request: { readonly from: string; readonly message: VoteRequest },
): ConsensusStep {
  const { from, message } = request;
  if (!message.isTransfer && hasActiveLeader(context, state)) {
    return createReduction(state);
  }
  const step: ConsensusStep = message.term > state.term
    ? startFollowing(context, state, { ...message, leaderId: undefined })
    : createReduction(state);
  return chainReduction(step, (s) => vote(context, s, { from, message }));
}

/** Counts a granted vote; becomes leader once a quorum granted one. */
export function receiveVote(
  context: StepContext,
  state: ConsensusState,
  response: { readonly from: string; readonly message: VoteResponse },
): ConsensusStep {
  const { from, message } = response;
  if (message.term > state.term) {
    const { term } = message;
    return startFollowing(context, state, { term, leaderId: undefined });
  }
  const isCurrent = state.role.type === "Candidate" &&
    message.term === state.term;
  if (!isCurrent || !message.isGranted) {
    return createReduction(state);
  }
  const next = addVote(state, from);
  return hasVotes(context, next)
    ? startLeadership(context, next)
    : createReduction(next);
}

function startPreVote(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const votes = new Set([state.replicaId]);
  const step = updateRole(state, { type: "PreCandidate", votes });
  if (hasVotes(context, step.state)) {
    return chainReduction(step, (s) => startElection(context, s, false));
  }
  const message: PreVoteRequest = {
    type: "PreVoteRequest",
    term: state.term + 1,
    ...locateLogEnd(state.log),
  };
  return listCounted(context, state)
    .filter((to) => to !== state.replicaId)
    .reduce(
      (sent, to) => chainReduction(sent, (s) => sendNow(s, to, message)),
      step,
    );
}

function vote(
  context: StepContext,
  state: ConsensusState,
  request: { readonly from: string; readonly message: VoteRequest },
): ConsensusStep {
  const { from: to, message } = request;
  const { rules } = context;
  const isGranted = message.term === state.term &&
    rules.canVote(state.votedFor, to) &&
    rules.isUpToDate(message, locateLogEnd(state.log));
  const { term } = state;
  const answer: VoteResponse = { type: "VoteResponse", term, isGranted };
  if (!isGranted) {
    return sendOnceSynced(context, state, { to, message: answer });
  }
  const voted = resetElectionTimeout(context, { ...state, votedFor: to });
  return chainReduction(
    writeHardState(context, voted),
    (s) => sendOnceSynced(context, s, { to, message: answer }),
  );
}

function addVote(state: ConsensusState, from: string): ConsensusState {
  const { role } = state;
  if (role.type !== "PreCandidate" && role.type !== "Candidate") {
    return state;
  }
  const votes = new Set([...role.votes, from]);
  return { ...state, role: { ...role, votes } };
}

function hasVotes(context: StepContext, state: ConsensusState): boolean {
  const { role } = state;
  return (role.type === "PreCandidate" || role.type === "Candidate") &&
    hasQuorum(context, state, role.votes);
}

function hasActiveLeader(context: StepContext, state: ConsensusState): boolean {
  if (state.role.type === "Leader") {
    return true;
  }
  const lastMessageAtMs = state.lastLeaderMessageAtMs;
  return lastMessageAtMs !== undefined &&
    context.nowMs - lastMessageAtMs < state.options.electionTimeoutMs;
}
