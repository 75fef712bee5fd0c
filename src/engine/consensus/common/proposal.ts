/** Proposals: admission by the leader, and their outcome. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ConsensusFailure } from "./consensus_events.ts";
import type {
  ConsensusState,
  ConsensusStep,
  PendingProposal,
  StepContext,
} from "./consensus_types.ts";
import { encodeCommand } from "./entry_payload.ts";
import { appendAsLeader } from "./leadership.ts";
import { locateLogEnd } from "./replicated_log.ts";
import { findLeader } from "./term.ts";

/** A proposed command. */
export interface ProposalRequest {
  readonly requestId: string;
  readonly payload: Uint8Array;
}

/** Appends a command as leader, or fails it with the reason. */
export function startProposal(
  context: StepContext,
  state: ConsensusState,
  request: ProposalRequest,
): ConsensusStep {
  const { requestId, payload } = request;
  const failure = checkProposal(state, payload.length);
  if (failure !== undefined) {
    return failProposal(state, requestId, failure);
  }
  const index = locateLogEnd(state.log).lastIndex + 1;
  const recorded = addProposal(state, { requestId, index });
  return appendAsLeader(context, recorded, encodeCommand(payload));
}

/**
 * Returns why a proposal of `sizeBytes` cannot be appended; undefined if it
 * can.
 */
export function checkProposal(
  state: ConsensusState,
  sizeBytes: number,
): ConsensusFailure | undefined {
  const { role, options } = state;
  if (role.type !== "Leader") {
    return { type: "NotLeader", leaderId: findLeader(state) };
  }
  if (role.transfer !== undefined) {
    return { type: "Transferring" };
  }
  const isFull = role.proposals.length >= options.maxPendingProposals;
  return isFull || sizeBytes > options.maxPayloadBytes
    ? { type: "Overloaded" }
    : undefined;
}

/** Records a proposal, to be answered once it is committed. */
export function addProposal(
  state: ConsensusState,
  proposal: PendingProposal,
): ConsensusState {
  const { role } = state;
  if (role.type !== "Leader") {
    return state;
  }
  const proposals = [...role.proposals, proposal];
  return { ...state, role: { ...role, proposals } };
}

/** Reports that a proposal failed. */
export function failProposal(
  state: ConsensusState,
  requestId: string,
  failure: ConsensusFailure,
): ConsensusStep {
  return createReduction(state, [
    { type: "ProposalFailed", requestId, failure },
  ]);
}
