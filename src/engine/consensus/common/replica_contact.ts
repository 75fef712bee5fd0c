/** Contact of the leader with its peers: check-quorum and silence reports. */
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import { updateProgress } from "./progress.ts";
import { hasQuorum, selectReplicas } from "./quorum.ts";
import { startFollowing } from "./term.ts";

/** Records that a replica answered in this term. */
export function recordContact(
  context: StepContext,
  state: ConsensusState,
  contact: { readonly from: string; readonly round: number },
): ConsensusStep {
  const { from, round } = contact;
  const { role } = state;
  const before = role.type === "Leader" ? role.progress.get(from) : undefined;
  if (before === undefined) {
    return createReduction(state);
  }
  const ackedRound = Math.max(before.ackedRound, round);
  const { nowMs } = context;
  const isRecorded = before.lastReceivedAtMs === nowMs &&
    before.ackedRound === ackedRound && !before.isSilent;
  if (isRecorded) {
    return createReduction(state);
  }
  const next = updateProgress(state, from, (progress) => ({
    ...progress,
    lastReceivedAtMs: nowMs,
    ackedRound,
    isSilent: false,
  }));
  const step: ConsensusStep = createReduction(next);
  return before.isSilent
    ? appendEffects(step, { type: "ReplicaHeard", replicaId: from })
    : step;
}

/** Steps down if no quorum answered within the election timeout. */
export function checkQuorumContact(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, term, options } = state;
  const { nowMs } = context;
  const { electionTimeoutMs } = options;
  if (role.type !== "Leader" || nowMs - role.startedAtMs < electionTimeoutMs) {
    return createReduction(state);
  }
  const reachable = selectReplicas(
    state,
    role,
    (progress) => nowMs - progress.lastReceivedAtMs < electionTimeoutMs,
  );
  return hasQuorum(context, state, reachable)
    ? createReduction(state)
    : startFollowing(context, state, { term, leaderId: undefined });
}

/** Reports replicas that have not answered for `silentAfterMs`. */
export function reportSilence(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  let step: ConsensusStep = createReduction(state);
  if (state.role.type !== "Leader") {
    return step;
  }
  for (const [replicaId, progress] of state.role.progress) {
    const silentForMs = context.nowMs - progress.lastReceivedAtMs;
    if (progress.isSilent || silentForMs < state.options.silentAfterMs) {
      continue;
    }
    const next = updateProgress(step.state, replicaId, (p) => ({
      ...p,
      isSilent: true,
    }));
    step = appendEffects(
      { ...step, state: next },
      { type: "ReplicaSilent", replicaId, silentForMs },
    );
  }
  return step;
}
