/** What the leader makes of silence: check-quorum, and who is silent. */
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

/** Notes that a replica answered in this term. */
export function noteContact(
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
  const { nowMs: heardAtMs } = context;
  const isNoted = before.heardAtMs === heardAtMs &&
    before.ackedRound === ackedRound && !before.isSilent;
  if (isNoted) {
    return createReduction(state);
  }
  const next = updateProgress(state, from, (progress) => ({
    ...progress,
    heardAtMs,
    ackedRound,
    isSilent: false,
  }));
  const step: ConsensusStep = createReduction(next);
  return before.isSilent
    ? appendEffects(step, { type: "ReplicaHeard", replicaId: from })
    : step;
}

/** Steps down where no quorum answered for the election timeout. */
export function checkQuorumContact(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, term, options } = state;
  const { nowMs } = context;
  const { electionTimeoutMs } = options;
  if (role.type !== "Leader" || nowMs - role.sinceMs < electionTimeoutMs) {
    return createReduction(state);
  }
  const heard = selectReplicas(
    state,
    role,
    (progress) => nowMs - progress.heardAtMs < electionTimeoutMs,
  );
  return hasQuorum(context, state, heard)
    ? createReduction(state)
    : startFollowing(context, state, { term, leaderId: undefined });
}

/** Reports the replicas that have been silent for too long. */
export function reportSilence(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  let step: ConsensusStep = createReduction(state);
  if (state.role.type !== "Leader") {
    return step;
  }
  for (const [replicaId, progress] of state.role.progress) {
    const silentForMs = context.nowMs - progress.heardAtMs;
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
