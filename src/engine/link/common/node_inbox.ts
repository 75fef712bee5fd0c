/** Converts messages of a control replica into events of the node. */
import type { HolderSets } from "../../claims/common/claim_types.ts";
import type { RoutingEvent } from "../../routing/common/routing_reducer.ts";
import { applyTableDelta } from "../../table/common/table_delta.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { ControlMessage, NodeMessage } from "./link_messages.ts";

/** State of the node that the meaning of a message depends on. */
export interface InboxContext {
  readonly table: Table;
  readonly isServiceKnown: (service: string) => boolean;
}

/** An event of the node's reducer. */
export type InboxEvent =
  | {
    readonly type: "TableReceived";
    readonly table: Table;
    readonly isConfirmed: boolean;
  }
  | { readonly type: "HolderSetsReceived"; readonly sets: HolderSets }
  | { readonly type: "DrainRequested" }
  | RoutingEvent;

/** Events for the node's reducer, and the reply to the replica, if any. */
export interface InboxResult {
  readonly events: readonly InboxEvent[];
  readonly reply: NodeMessage | undefined;
}

/** Converts one message; types that the node doesn't use have no effect. */
export function readControlMessage(
  message: ControlMessage,
  view: InboxContext,
): InboxResult {
  switch (message.type) {
    case "TableUpdate":
      return createResult({ ...message, type: "TableReceived" });
    case "TableChange":
      return readTableChange(message, view.table);
    case "MemberList":
      return readMemberList(message, view);
    case "MemberUpdate":
      return createResult({ ...message, type: "MemberPublished" });
    case "MemberLoss":
      return createResult({ ...message, type: "MemberLost" });
    case "HolderSetUpdate":
      return createResult({ type: "HolderSetsReceived", sets: message.sets });
    case "DrainOrder":
      return createResult({ type: "DrainRequested" });
    case "RoutesUpdate":
    case "RoutesProved":
    case "SharesUpdate":
    case "CrashUpdate":
    case "HeartbeatAnswer":
      return createResult();
  }
}

/** Applies a delta. Requests the table if there is a gap; ignores old deltas. */
function readTableChange(
  message: Extract<ControlMessage, { type: "TableChange" }>,
  current: Table,
): InboxResult {
  const { delta, isConfirmed } = message;
  const table = applyTableDelta(current, delta);
  if (table !== undefined) {
    return createResult({ type: "TableReceived", table, isConfirmed });
  }
  const tableVersion = current.version;
  return delta.toVersion > tableVersion
    ? { events: [], reply: { type: "TableFetch", tableVersion } }
    : createResult();
}

/**
 * Replaces the members only by a complete list. A replica that has just started
 * doesn't know all members yet, so its list adds members and removes none.
 */
function readMemberList(
  message: Extract<ControlMessage, { type: "MemberList" }>,
  view: InboxContext,
): InboxResult {
  const { service, members, isComplete } = message;
  if (isComplete || !view.isServiceKnown(service)) {
    return createResult({ type: "MembersListed", service, members });
  }
  return createResult(
    ...members.map((announcement) =>
      ({ type: "MemberPublished", announcement }) as const
    ),
  );
}

function createResult(...events: readonly InboxEvent[]): InboxResult {
  return { events, reply: undefined };
}
