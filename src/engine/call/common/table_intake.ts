/**
 * Activation of tables at a node. Versions only increase, and the first table
 * should be one that a quorum has confirmed.
 */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Time that a starting node waits for a confirmed table. */
export const CONFIRMED_WAIT_MS = 10_000;

/** A table as a control replica sends it. */
export interface ReceivedTable {
  readonly table: Table;
  /** Whether a quorum of replicas confirmed it. */
  readonly isConfirmed: boolean;
}

/**
 * Activates a table unless it is older than the one in force. A starting node
 * keeps an unconfirmed table as a candidate.
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

/** Activates the candidate once `CONFIRMED_WAIT_MS` has passed. */
export function activateCandidate(state: NodeState, nowMs: number): NodeStep {
  const { tableCandidate } = state;
  const isDue = tableCandidate !== undefined &&
    nowMs - tableCandidate.sinceMs >= CONFIRMED_WAIT_MS;
  return isDue
    ? activateTable(state, { table: tableCandidate.table, isConfirmed: false })
    : createReduction(state);
}

/** Keeps the candidate of the highest version; the wait does not restart. */
function updateCandidate(
  state: NodeState,
  table: Table,
  nowMs: number,
): NodeState {
  const { tableCandidate: current } = state;
  const isNewer = current === undefined ||
    table.version > current.table.version;
  const tableCandidate = {
    table: isNewer ? table : current.table,
    sinceMs: current?.sinceMs ?? nowMs,
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
