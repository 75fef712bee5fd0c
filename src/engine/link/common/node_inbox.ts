/** What a control replica's message means to a node. */
import type { HolderSets } from "../../claims/common/claim_types.ts";
import type { RoutingEvent } from "../../routing/common/routing_reducer.ts";
import { applyTableDelta } from "../../table/common/table_delta.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { ControlMessage, NodeMessage } from "./link_messages.ts";

/** What a node knows that a message is read against. */
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

/** Events for the node, and what is said back. */
export interface InboxResult {
  readonly events: readonly InboxEvent[];
  readonly reply: NodeMessage | undefined;
}

/** Reads one message. */
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
    case "HeartbeatAnswer":
      return createResult();
  }
}

/** A delta that doesn't fit is fetched anew; an old one is passed over. */
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

/** A replica that has just started doesn't know whom it leaves out. */
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
