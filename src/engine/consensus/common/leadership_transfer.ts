/** Leadership transfer before a planned stop (Ongaro 2014, 3.10). */
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  ConsensusState,
  ConsensusStep,
  LeaderRole,
  StepContext,
} from "./consensus_types.ts";
import { locateLogEnd } from "./replicated_log.ts";

/**
 * Stops accepting proposals and starts the transfer to `targetId`, or to the
 * voter with the longest matching log if undefined.
 */
export function startTransfer(
  context: StepContext,
  state: ConsensusState,
  targetId: string | undefined,
): ConsensusStep {
  const { role, options } = state;
  if (role.type !== "Leader" || role.transfer !== undefined) {
    return createReduction(state);
  }
  const selectedId = targetId ?? selectTarget(state, role);
  const isOtherVoter = selectedId !== undefined &&
    selectedId !== state.replicaId &&
    state.configuration.voters.includes(selectedId);
  if (!isOtherVoter) {
    return createReduction(state);
  }
  const transfer = {
    targetId: selectedId,
    deadlineMs: context.nowMs + options.electionTimeoutMs,
    isElectionOrderSent: false,
  };
  return sendElectionOrder({ ...state, role: { ...role, transfer } });
}

/** Orders the target to start an election once it has the whole log. */
export function sendElectionOrder(state: ConsensusState): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader" || role.transfer === undefined) {
    return createReduction(state);
  }
  const { transfer } = role;
  const matchIndex = role.progress.get(transfer.targetId)?.matchIndex ?? 0;
  const isReady = matchIndex === locateLogEnd(state.log).lastIndex;
  if (transfer.isElectionOrderSent || !isReady) {
    return createReduction(state);
  }
  const next = {
    ...role,
    transfer: { ...transfer, isElectionOrderSent: true },
  };
  return createReduction({ ...state, role: next }, [{
    type: "SendMessage",
    to: transfer.targetId,
    message: { type: "ElectionOrder", term: state.term },
  }]);
}

/** Accepts proposals again if the target did not win in time. */
export function expireTransfer(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader" || role.transfer === undefined) {
    return createReduction(state);
  }
  const { targetId, deadlineMs } = role.transfer;
  if (context.nowMs < deadlineMs) {
    return createReduction(state);
  }
  const next = { ...state, role: { ...role, transfer: undefined } };
  const step: ConsensusStep = createReduction(next);
  return appendEffects(step, { type: "TransferExpired", targetId });
}

function selectTarget(
  state: ConsensusState,
  role: LeaderRole,
): string | undefined {
  return state.configuration.voters
    .filter((id) => id !== state.replicaId && !role.progress.get(id)?.isSilent)
    .sort((a, b) => getMatchIndex(role, b) - getMatchIndex(role, a))[0];
}

function getMatchIndex(role: LeaderRole, replicaId: string): number {
  return role.progress.get(replicaId)?.matchIndex ?? 0;
}
