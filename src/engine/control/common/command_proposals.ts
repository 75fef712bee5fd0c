/** Proposes commands that nobody waits for to the replicated log. */
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import { findLeader } from "../../consensus/common/term.ts";
import type { CrashCommand } from "../../quarantine/common/crash_messages.ts";
import { stepConsensus } from "./consensus_step.ts";
import { formatCrashCommand, updateCrashes } from "./crash_records.ts";
import { updateHolders } from "./holders.ts";
import { encodeCommand } from "./replicated_codec.ts";
import { createRequestId, parseSettingsId } from "./replication_state.ts";
import type { ReplicationState, ReplicationStep } from "./replication_state.ts";

/** A change of holders, or evidence against requests. */
export type UnansweredCommand = HolderCommand | CrashCommand;

/**
 * Proposes a command if this replica is the leader, or forwards it to the
 * leader. The command may be lost: nodes report, and the leader plans,
 * repeatedly.
 */
export function requestCommand(
  state: ReplicationState,
  command: UnansweredCommand,
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
  command: UnansweredCommand,
  nowMs: number,
): ReplicationStep {
  const name = createProposalName(command);
  const isNeeded = state.consensus.role.type === "Leader" &&
    isChange(state, command) &&
    ![...state.commandProposals.values()].includes(name);
  if (!isNeeded) {
    return createReduction(state);
  }
  const requestId = createRequestId(state);
  const next: ReplicationState = {
    ...state,
    commandProposals: setEntry(state.commandProposals, requestId, name),
    nextRequest: state.nextRequest + 1,
  };
  const payload = encodeCommand(command);
  const event = { type: "PayloadProposed", requestId, payload } as const;
  return stepConsensus(next, event, nowMs);
}

function isChange(
  { holders, crashes }: ReplicationState,
  command: UnansweredCommand,
): boolean {
  return command.type === "CrashesReported"
    ? updateCrashes(crashes, command) !== crashes
    : updateHolders(holders, command) !== holders;
}

function createProposalName(command: UnansweredCommand): string {
  const { type } = command;
  switch (type) {
    case "HolderSetProposed":
      return `${type}/${command.service}`;
    case "HolderCopied":
      return `${type}/${command.service}/${command.epoch}/${command.nodeId}`;
    case "CrashesReported":
      return `${type}/${formatCrashCommand(command)}`;
  }
}
