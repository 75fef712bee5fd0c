/** Replay of a control replica's recording. */
import {
  createReplica,
  reduceReplica,
} from "../../control/common/replica_reducer.ts";
import type {
  ReplicaEffect,
  ReplicaEvent,
  ReplicaState,
} from "../../control/common/replica_reducer.ts";
import type { EditResult } from "../../link/common/cluster_messages.ts";
import { compareLists } from "./compare_lists.ts";
import type { ReplayStep } from "./replay.ts";
import type {
  ControlOutcome,
  ControlTrace,
  TracedEdit,
} from "./trace_format.ts";

/** The result of replaying a control replica's trace. */
export interface ControlReplay {
  readonly steps: readonly ReplayStep<ReplicaEffect>[];
  readonly outcome: ControlOutcome;
  readonly state: ReplicaState;
}

/** Replays a trace from the replica's stored state at its start. */
export function replayControl(trace: ControlTrace): ControlReplay {
  let state = createReplica(trace.header.start);
  const steps: ReplayStep<ReplicaEffect>[] = [];
  const editIds = new Map<number, string>();
  const edits: TracedEdit[] = [];
  const reads: number[] = [];
  for (const { atMs, event } of trace.events) {
    recordEdit(editIds, event);
    const step = reduceReplica(state, event, atMs);
    state = step.state;
    steps.push({ atMs, eventType: event.type, effects: step.effects });
    const { version } = state.replication.tableState.table;
    for (const effect of step.effects) {
      if (effect.type === "AnswerEdit") {
        const editId = editIds.get(effect.requestId) ?? "";
        edits.push({ editId, ...describeResult(effect.result) });
      } else if (effect.type === "AnswerRead") {
        reads.push(effect.isCurrent ? version : 0);
      }
    }
  }
  const tableVersion = state.replication.tableState.table.version;
  return { steps, state, outcome: { edits, reads, tableVersion } };
}

/** Describes the differences between two outcomes; empty if they are equal. */
export function compareControlOutcomes(
  expected: ControlOutcome,
  actual: ControlOutcome,
): readonly string[] {
  return [
    ...compareLists(
      "edit",
      expected.edits.map(describeEdit),
      actual.edits.map(describeEdit),
    ),
    ...compareLists(
      "read",
      expected.reads.map(String),
      actual.reads.map(String),
    ),
    ...compareLists(
      "table version",
      [String(expected.tableVersion)],
      [String(actual.tableVersion)],
    ),
  ];
}

function recordEdit(editIds: Map<number, string>, event: ReplicaEvent): void {
  if (event.type === "EditRequested") {
    editIds.set(event.requestId, event.edit.editId);
  }
}

function describeResult(result: EditResult): Omit<TracedEdit, "editId"> {
  if (result.type === "EditRefused") {
    const outcome = result.isUnknown ? "EditUnknown" : "EditRefused";
    return { outcome, version: 0 };
  }
  const { outcome } = result;
  const version = outcome.type === "EditConflicted" ? 0 : outcome.version;
  return { outcome: outcome.type, version };
}

function describeEdit({ editId, outcome, version }: TracedEdit): string {
  return `${editId} ${outcome} ${version}`;
}
