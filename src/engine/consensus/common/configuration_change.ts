/** Membership changes, one replica at a time (Ongaro 2014, 4.1 to 4.2). */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { updateConfiguration } from "./configuration.ts";
import type {
  ConfigurationChange,
  ConsensusFailure,
} from "./consensus_events.ts";
import type {
  ConsensusState,
  ConsensusStep,
  LeaderRole,
  StepContext,
} from "./consensus_types.ts";
import { encodeConfiguration } from "./entry_payload.ts";
import { appendAsLeader, createProgress } from "./leadership.ts";
import type { Configuration } from "./log_types.ts";
import { addProposal, checkProposal, failProposal } from "./proposal.ts";
import { listPeers } from "./quorum.ts";
import { locateLogEnd } from "./replicated_log.ts";

/** A requested membership change. */
export interface ChangeRequest {
  readonly requestId: string;
  readonly change: ConfigurationChange;
}

/** Appends a change as leader; it takes effect once appended, not committed. */
export function startChange(
  context: StepContext,
  state: ConsensusState,
  request: ChangeRequest,
): ConsensusStep {
  const { requestId, change } = request;
  const failure = checkProposal(state, 0) ??
    checkChange(context, state, change);
  if (failure !== undefined) {
    return failProposal(state, requestId, failure);
  }
  const next = applyChange(state.configuration, change);
  const index = locateLogEnd(state.log).lastIndex + 1;
  const recorded = addProposal(state, { requestId, index });
  const changed = updatePeers(context, {
    ...recorded,
    configuration: next,
    configurationIndex: index,
  });
  return chainReduction(
    appendAsLeader(context, changed, encodeConfiguration(next)),
    (s) => createReduction(updateConfiguration(s, index)),
  );
}

function checkChange(
  context: StepContext,
  state: ConsensusState,
  change: ConfigurationChange,
): ConsensusFailure | undefined {
  const { role, commitIndex, configurationIndex } = state;
  if (role.type !== "Leader") {
    return { type: "NotLeader", leaderId: undefined };
  }
  const isEarlierCommitted = configurationIndex <= commitIndex &&
    commitIndex >= role.firstIndex;
  if (!context.rules.canChangeConfiguration(isEarlierCommitted)) {
    return { type: "ChangePending" };
  }
  if (!isValidChange(state.configuration, change)) {
    return { type: "InvalidChange" };
  }
  const { replicaId } = change;
  const matchIndex = role.progress.get(replicaId)?.matchIndex ?? 0;
  return change.type === "PromoteLearner" &&
      !context.rules.isCaughtUp(matchIndex, commitIndex)
    ? { type: "NotCaughtUp" }
    : undefined;
}

function isValidChange(
  configuration: Configuration,
  change: ConfigurationChange,
): boolean {
  const { voters, learners } = configuration;
  const { replicaId } = change;
  switch (change.type) {
    case "AddLearner":
      return !voters.includes(replicaId) && !learners.includes(replicaId);
    case "PromoteLearner":
      return learners.includes(replicaId);
    case "RemoveReplica":
      return learners.includes(replicaId) ||
        (voters.includes(replicaId) && voters.length > 1);
  }
}

function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  const { replicaId } = change;
  const voters = configuration.voters.filter((id) => id !== replicaId);
  const learners = configuration.learners.filter((id) => id !== replicaId);
  switch (change.type) {
    case "AddLearner":
      return { voters, learners: [...learners, replicaId] };
    case "PromoteLearner":
      return { voters: [...voters, replicaId], learners };
    case "RemoveReplica":
      return { voters, learners };
  }
}

function updatePeers(
  context: StepContext,
  state: ConsensusState,
): ConsensusState {
  const { role } = state;
  if (role.type !== "Leader") {
    return state;
  }
  const nextIndex = locateLogEnd(state.log).lastIndex + 1;
  const progress: LeaderRole["progress"] = new Map(
    listPeers(state).map((id) => [
      id,
      role.progress.get(id) ?? createProgress(context, nextIndex),
    ]),
  );
  return { ...state, role: { ...role, progress } };
}
