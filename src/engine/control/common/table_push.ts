/**
 * Pushes the table to the nodes: as a delta if possible, otherwise completely.
 */
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

/** Number of earlier tables that are retained to create deltas from. */
export const MAX_RECENT_TABLES = 64;
/** Time after which a change that a node hasn't acknowledged is resent. */
export const ACK_TIMEOUT_MS = 2_000;

/**
 * Retains the table that was in force before, so that deltas can start from it.
 * Must be called whenever the table changes.
 */
export function retainTable(
  state: ControlState,
  previous: Table,
): ControlState {
  const recentTables = [...state.recentTables, previous]
    .slice(-MAX_RECENT_TABLES);
  return { ...state, recentTables };
}

/** Sends the table to every node to which this version wasn't sent. */
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

/**
 * Sends one node the table, as a delta from the version it reported if
 * possible.
 */
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

/**
 * Sends every node the table again, usually as an empty delta, confirmed as
 * current.
 */
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

/** Resends the changes that a node hasn't confirmed in time. */
export function resendTable(
  state: ControlState,
  linkId: number,
  nowMs: number,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  const isBehind = link.tableVersion < state.tableState.table.version;
  if (!isBehind || nowMs - link.sentAtMs < ACK_TIMEOUT_MS) {
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
