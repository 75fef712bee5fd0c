/** Steps consensus, and applies its effects to the replicated state. */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  CommittedCommand,
  ConsensusEffect,
  ConsensusEvent,
} from "../../consensus/common/consensus_events.ts";
import { reduceConsensus } from "../../consensus/common/consensus_reducer.ts";
import type { Configuration } from "../../consensus/common/log_types.ts";
import { applyEdit } from "../../table/common/table_reducer.ts";
import type { TableEdit } from "../../table/common/table_reducer.ts";
import type { TimelineEvent } from "../../telemetry/common/timeline_event.ts";
import { commitEdit, retryEdit } from "./edit_requests.ts";
import { removeProposal } from "./command_settling.ts";
import { updateCrashes } from "./crash_records.ts";
import { updateHolders } from "./holders.ts";
import {
  decodeCommand,
  decodeReplicated,
  encodeReplicated,
} from "./replicated_codec.ts";
import type { ReplicatedCommand } from "./replicated_codec.ts";
import { parseSettingsId } from "./replication_state.ts";
import type {
  ReplicationEffect,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";
import {
  createDecisionRecord,
  createEditEntry,
  createSnapshotRecord,
} from "./routes_record.ts";
import type { RoutesRecord } from "./routes_record.ts";
import { failRead, finishRead } from "./table_reads.ts";

/** Steps consensus by one event. */
export function stepConsensus(
  state: ReplicationState,
  event: ConsensusEvent,
  nowMs: number,
): ReplicationStep {
  const step = reduceConsensus(state.consensus, event, nowMs);
  return applyEffects({ ...state, consensus: step.state }, step.effects, nowMs);
}

/** Applies the effects of consensus, in order. */
export function applyEffects(
  state: ReplicationState,
  effects: readonly ConsensusEffect[],
  nowMs: number,
): ReplicationStep {
  return effects.reduce<ReplicationStep>(
    (step, effect) =>
      chainReduction(step, (s) => applyEffect(s, effect, nowMs)),
    createReduction(state),
  );
}

function applyEffect(
  state: ReplicationState,
  effect: ConsensusEffect,
  nowMs: number,
): ReplicationStep {
  switch (effect.type) {
    case "SendMessage":
      return createReduction(state, [createConsensusRelay(state, effect)]);
    case "PersistLog":
    case "PersistSnapshot":
      return createReduction(state, [effect]);
    case "ApplyEntries":
      return applyCommands(state, effect.commands);
    case "InstallSnapshot": {
      const replicated = decodeReplicated(effect.snapshot.payload);
      const record = createSnapshotRecord(effect.snapshot, {
        before: state.tableState,
        after: replicated.tableState,
      });
      return createReduction(
        { ...state, ...replicated },
        listRecordEffects(record),
      );
    }
    case "TakeSnapshot": {
      const { lastIndex } = effect;
      const payload = encodeReplicated(state);
      const taken = { type: "SnapshotTaken", lastIndex, payload } as const;
      return stepConsensus(state, taken, nowMs);
    }
    case "ProposalCommitted":
      return commitEdit(
        removeProposal(state, effect.requestId),
        effect,
      );
    case "ProposalFailed":
      return retryEdit(
        removeProposal(state, effect.requestId),
        effect.requestId,
        { isUnknown: effect.failure.type === "OutcomeUnknown" },
      );
    case "ReadReady":
      return finishRead(state, effect.requestId);
    case "ReadFailed":
      return failRead(state, effect.requestId);
    case "LeaderChanged":
      return recordLeader(state, effect);
    case "ConfigurationChanged":
      return recordConfiguration(state, effect.configuration);
    case "ReplicaSilent":
    case "ReplicaHeard":
    case "TransferExpired":
      return createReduction(state);
  }
}

function createConsensusRelay(
  state: ReplicationState,
  effect: Extract<ConsensusEffect, { type: "SendMessage" }>,
): ReplicationEffect {
  const { to, message } = effect;
  const from = state.consensus.replicaId;
  return {
    type: "SendToPeer",
    peer: parseSettingsId(to),
    message: { type: "ConsensusRelay", from, to, message },
  };
}

function applyCommands(
  state: ReplicationState,
  commands: readonly CommittedCommand[],
): ReplicationStep {
  return commands.reduce<ReplicationStep>(
    (step, entry) =>
      chainReduction(step, (s) => {
        const command = decodeCommand(entry.payload);
        return command.type === "TableEdited"
          ? applyTableEdit(s, { edit: command.edit, entry })
          : applyCommand(s, command);
      }),
    createReduction({ ...state, lastApplied: [] }),
  );
}

/** Applies an edit, and records what became of a change of the routes. */
function applyTableEdit(
  state: ReplicationState,
  { edit, entry }: {
    readonly edit: TableEdit;
    readonly entry: CommittedCommand;
  },
): ReplicationStep {
  const applied = createEditEntry(state.tableState, { edit, entry });
  const step = applyCommand(state, { type: "TableEdited", edit });
  const { lastApplied, consensus } = step.state;
  const next = consensus.role.type === "Leader"
    ? { ...step.state, lastApplied: [...lastApplied, applied] }
    : step.state;
  const record = createDecisionRecord(next.tableState, { edit, applied });
  return createReduction(next, [
    ...step.effects,
    ...listRecordEffects(record),
  ]);
}

function listRecordEffects(
  record: RoutesRecord | undefined,
): readonly ReplicationEffect[] {
  return record === undefined ? [] : [{ type: "RecordRoutes", record }];
}

/** Applies a committed command; only the leader records the event, once. */
function applyCommand(
  state: ReplicationState,
  command: ReplicatedCommand,
): ReplicationStep {
  const next = applyReplicated(state, command);
  const events = state.consensus.role.type === "Leader"
    ? listEvents(state, next, command)
    : [];
  return createReduction(
    next,
    events.map((event): ReplicationEffect => ({ type: "RecordEvent", event })),
  );
}

function applyReplicated(
  state: ReplicationState,
  command: ReplicatedCommand,
): ReplicationState {
  switch (command.type) {
    case "TableEdited": {
      const { state: tableState } = applyEdit(state.tableState, command.edit);
      return { ...state, tableState };
    }
    case "CrashesReported":
      return { ...state, crashes: updateCrashes(state.crashes, command) };
    default:
      return { ...state, holders: updateHolders(state.holders, command) };
  }
}

function listEvents(
  previous: ReplicationState,
  state: ReplicationState,
  command: ReplicatedCommand,
): readonly TimelineEvent[] {
  if (command.type === "TableEdited") {
    const { editId, operator } = command.edit;
    const { version } = state.tableState.table;
    return version > previous.tableState.table.version
      ? [{ type: "EditAccepted", version, editId, operator }]
      : [];
  }
  if (command.type === "CrashesReported") {
    return [];
  }
  const { service } = command;
  const { epoch, members } = state.holders.get(service)?.active ?? {};
  return epoch === undefined ||
      epoch === previous.holders.get(service)?.active.epoch
    ? []
    : [{
      type: "HoldersChanged",
      service,
      epoch,
      nodeIds: members?.map(({ nodeId }) => nodeId) ?? [],
    }];
}

function recordLeader(
  state: ReplicationState,
  effect: Extract<ConsensusEffect, { type: "LeaderChanged" }>,
): ReplicationStep {
  const { term, leaderId } = effect;
  const leader = leaderId === undefined ? "none" : parseSettingsId(leaderId);
  const event = { type: "LeaderChanged", term, leader } as const;
  return createReduction(state, [{ type: "RecordEvent", event }]);
}

function recordConfiguration(
  state: ReplicationState,
  { voters }: Configuration,
): ReplicationStep {
  const joined = voters.filter((id) => !state.voters.includes(id));
  return createReduction(
    { ...state, voters },
    joined.map((replica): ReplicationEffect => {
      const event = { type: "ReplicaJoined", replica } as const;
      return { type: "RecordEvent", event };
    }),
  );
}
