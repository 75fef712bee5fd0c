/** Brings the table to the nodes: deltas where it can, else the whole. */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { ControlMessage } from "../../link/common/link_messages.ts";
import { createTableDelta } from "../../table/common/table_delta.ts";
import type { Table } from "../../table/common/table_row.ts";
import { createSend, NEW_LINK, updateLink } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
  Link,
} from "./control_state.ts";

/** Versions back to which deltas are made. */
export const MAX_RECENT_TABLES = 64;
/** A node that didn't confirm for so long is sent the change again. */
export const REPAIR_MS = 2_000;

/**
 * Keeps the table that was in force before, so that deltas can start from it.
 * To be called wherever the table moves on.
 */
export function rememberTable(
  state: ControlState,
  before: Table,
): ControlState {
  const recentTables = [...state.recentTables, before]
    .slice(-MAX_RECENT_TABLES);
  return { ...state, recentTables };
}

/** Sends the table to every node that wasn't sent this version. */
export function pushTable(state: ControlState, nowMs: number): ControlStep {
  const { version } = state.tableState.table;
  const messages = new Map<number, ControlMessage>();
  const links = new Map(state.links);
  const effects: ControlEffect[] = [];
  for (const [linkId, link] of state.links) {
    if (link.nodeId !== undefined && link.sentVersion < version) {
      const message = messages.get(link.sentVersion) ??
        createUpdate(state, link.sentVersion);
      messages.set(link.sentVersion, message);
      effects.push(createSend(linkId, message));
      links.set(linkId, { ...link, sentVersion: version, sentAtMs: nowMs });
    }
  }
  return createReduction({ ...state, links }, effects);
}

/** Sends one node what leads from the version that it says it is at. */
export function sendTable(
  state: ControlState,
  linkId: number,
  options: { readonly fromVersion: number; readonly nowMs: number },
): ControlStep {
  const { fromVersion, nowMs } = options;
  const { version } = state.tableState.table;
  if (fromVersion > version) {
    return createReduction(state);
  }
  const change: Partial<Link> = { sentVersion: version, sentAtMs: nowMs };
  return createReduction(updateLink(state, linkId, change), [
    createSend(linkId, createUpdate(state, fromVersion)),
  ]);
}

/** Tells every node that its table is current, or what leads to that one. */
export function confirmTable(state: ControlState, nowMs: number): ControlStep {
  let step: ControlStep = createReduction(state);
  for (const [linkId, { nodeId, sentVersion: fromVersion }] of state.links) {
    if (nodeId !== undefined) {
      const options = { fromVersion, nowMs };
      step = chainReduction(step, (s) => sendTable(s, linkId, options));
    }
  }
  return step;
}

/** Sends again what a node hasn't confirmed in time. */
export function resendTable(
  state: ControlState,
  linkId: number,
  nowMs: number,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  const isBehind = link.tableVersion < state.tableState.table.version;
  if (!isBehind || nowMs - link.sentAtMs < REPAIR_MS) {
    return createReduction(state);
  }
  const fromVersion = link.tableVersion;
  return sendTable(state, linkId, { fromVersion, nowMs });
}

function createUpdate(
  state: ControlState,
  fromVersion: number,
): ControlMessage {
  const { table } = state.tableState;
  const { isTableConfirmed: isConfirmed } = state;
  const from = fromVersion === table.version
    ? table
    : state.recentTables.findLast((old) => old.version === fromVersion);
  if (from === undefined) {
    return { type: "TableUpdate", table, isConfirmed };
  }
  const delta = createTableDelta(from, table);
  return { type: "TableChange", delta, isConfirmed };
}
