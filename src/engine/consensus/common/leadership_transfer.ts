/** Hands leadership to another voter before a planned stop (thesis, 3.10). */
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

/** Stops taking proposals and picks who leads next. */
export function startTransfer(
  context: StepContext,
  state: ConsensusState,
  targetId: string | undefined,
): ConsensusStep {
  const { role, options } = state;
  if (role.type !== "Leader" || role.transfer !== undefined) {
    return createReduction(state);
  }
  const picked = targetId ?? pickTarget(state, role);
  const isVoter = picked !== undefined && picked !== state.replicaId &&
    state.configuration.voters.includes(picked);
  if (!isVoter) {
    return createReduction(state);
  }
  const transfer = {
    targetId: picked,
    deadlineMs: context.nowMs + options.electionTimeoutMs,
    isOrdered: false,
  };
  return sendElectionOrder({ ...state, role: { ...role, transfer } });
}

/** Orders the target to campaign, once it has the whole log. */
export function sendElectionOrder(state: ConsensusState): ConsensusStep {
  const { role } = state;
  if (role.type !== "Leader" || role.transfer === undefined) {
    return createReduction(state);
  }
  const { transfer } = role;
  const matchIndex = role.progress.get(transfer.targetId)?.matchIndex ?? 0;
  const isReady = matchIndex === locateLogEnd(state.log).lastIndex;
  if (transfer.isOrdered || !isReady) {
    return createReduction(state);
  }
  const next = { ...role, transfer: { ...transfer, isOrdered: true } };
  return createReduction({ ...state, role: next }, [{
    type: "SendMessage",
    to: transfer.targetId,
    message: { type: "ElectionOrder", term: state.term },
  }]);
}

/** Takes proposals again where the target didn't win in time. */
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

function pickTarget(
  state: ConsensusState,
  role: LeaderRole,
): string | undefined {
  return state.configuration.voters
    .filter((id) => id !== state.replicaId && !role.progress.get(id)?.isSilent)
    .sort((a, b) => readMatch(role, b) - readMatch(role, a))[0];
}

function readMatch(role: LeaderRole, replicaId: string): number {
  return role.progress.get(replicaId)?.matchIndex ?? 0;
}
