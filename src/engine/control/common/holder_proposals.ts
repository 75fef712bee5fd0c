/** Proposes changes of the holder sets to the replicated log. */
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import { findLeader } from "../../consensus/common/term.ts";
import { stepConsensus } from "./consensus_step.ts";
import { updateHolders } from "./holders.ts";
import { encodeCommand } from "./replicated_codec.ts";
import { createRequestId, parseSettingsId } from "./replication_state.ts";
import type { ReplicationState, ReplicationStep } from "./replication_state.ts";

/**
 * Proposes a command if this replica is the leader, or forwards it to the
 * leader. The command may be lost: nodes report, and the leader plans,
 * repeatedly.
 */
export function requestHolderChange(
  state: ReplicationState,
  command: HolderCommand,
  nowMs: number,
): ReplicationStep {
  const leaderId = findLeader(state.consensus);
  if (leaderId === undefined || leaderId === state.consensus.replicaId) {
    return proposeCommand(state, command, nowMs);
  }
  const peer = parseSettingsId(leaderId);
  const message = { type: "HolderForward", command } as const;
  return createReduction(state, [{ type: "SendToPeer", peer, message }]);
}

/** Proposes a command, unless it changes nothing or is already proposed. */
export function proposeCommand(
  state: ReplicationState,
  command: HolderCommand,
  nowMs: number,
): ReplicationStep {
  const name = createProposalName(command);
  const isNeeded = state.consensus.role.type === "Leader" &&
    updateHolders(state.holders, command) !== state.holders &&
    ![...state.holderProposals.values()].includes(name);
  if (!isNeeded) {
    return createReduction(state);
  }
  const requestId = createRequestId(state);
  const next: ReplicationState = {
    ...state,
    holderProposals: setEntry(state.holderProposals, requestId, name),
    nextRequest: state.nextRequest + 1,
  };
  const payload = encodeCommand(command);
  const event = { type: "PayloadProposed", requestId, payload } as const;
  return stepConsensus(next, event, nowMs);
}

function createProposalName(command: HolderCommand): string {
  const { type, service } = command;
  switch (type) {
    case "HolderSetProposed":
      return `${type}/${service}`;
    case "HolderCopied":
      return `${type}/${service}/${command.epoch}/${command.nodeId}`;
  }
}
