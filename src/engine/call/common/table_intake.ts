/** Which tables come into force at a node: upwards only, confirmed first. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** How long a starting node looks for a replica that is current. */
export const CONFIRMED_WAIT_MS = 10_000;

/** A table as a control replica sends it. */
export interface ReceivedTable {
  readonly table: Table;
  /** Whether a quorum vouched for it. */
  readonly isConfirmed: boolean;
}

/**
 * A table takes effect only if it is newer than the one in force. A starting
 * node waits for a confirmed one first.
 */
export function receiveTable(
  state: NodeState,
  received: ReceivedTable,
  nowMs: number,
): NodeStep {
  const { table, isConfirmed } = received;
  if (table.version < state.table.version) {
    return createReduction(state);
  }
  const isStarting = state.table.version === 0 && table.version > 0;
  return isStarting && !isConfirmed
    ? activateCandidate(updateCandidate(state, table, nowMs), nowMs)
    : activateTable(state, received);
}

/** After a time without a confirmed table, takes the highest one found. */
export function activateCandidate(state: NodeState, nowMs: number): NodeStep {
  const { tableCandidate } = state;
  const isDue = tableCandidate !== undefined &&
    nowMs - tableCandidate.sinceMs >= CONFIRMED_WAIT_MS;
  return isDue
    ? activateTable(state, { table: tableCandidate.table, isConfirmed: false })
    : createReduction(state);
}

function updateCandidate(
  state: NodeState,
  table: Table,
  nowMs: number,
): NodeState {
  const { tableCandidate: known } = state;
  const isHigher = known === undefined || table.version > known.table.version;
  const tableCandidate = {
    table: isHigher ? table : known.table,
    sinceMs: known?.sinceMs ?? nowMs,
  };
  return { ...state, tableCandidate };
}

function activateTable(state: NodeState, received: ReceivedTable): NodeStep {
  const { table, isConfirmed } = received;
  const { version } = table;
  const next: NodeState = {
    ...state,
    table,
    isTableConfirmed: isConfirmed,
    tableCandidate: undefined,
  };
  const isSame = version === state.table.version &&
    isConfirmed === state.isTableConfirmed;
  const confirm: NodeEffect = { type: "ConfirmTable", version };
  if (isSame) {
    return createReduction(next, [confirm]);
  }
  const event = { type: "TableInForce", version, isConfirmed } as const;
  return createReduction(next, [confirm, { type: "RecordEvent", event }]);
}
