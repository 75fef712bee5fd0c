/** The one reducer of a control replica: table, presence and links. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import type {
  ControlMessage,
  NodeMessage,
} from "../../link/common/link_messages.ts";
import { acceptCopy, INITIAL_HOLDERS, stepHolders } from "./holders.ts";
import type { HoldersState } from "./holders.ts";
import {
  INITIAL_MEMBERSHIP,
  listMembers,
  reduceMembership,
} from "../../membership/common/membership_reducer.ts";
import type {
  MembershipEffect,
  MembershipEvent,
  MembershipState,
} from "../../membership/common/membership_reducer.ts";
import {
  applyEdit,
  INITIAL_TABLE_STATE,
} from "../../table/common/table_reducer.ts";
import type {
  EditOutcome,
  TableEdit,
  TableState,
} from "../../table/common/table_reducer.ts";
import type { TimelineEvent } from "../../telemetry/common/timeline_event.ts";

/** One node's link to this replica. */
export interface Link {
  readonly nodeId: string | undefined;
  readonly services: readonly string[];
  /** Version that the node confirmed to be in force. */
  readonly tableVersion: number;
}

/** All that a control replica knows. */
export interface ControlState {
  readonly tableState: TableState;
  readonly membership: MembershipState;
  readonly links: ReadonlyMap<number, Link>;
  readonly holders: HoldersState;
}

/** What happens at a control replica. */
export type ControlEvent =
  | {
    readonly type: "NodeMessageReceived";
    readonly linkId: number;
    readonly message: NodeMessage;
  }
  | { readonly type: "LinkClosed"; readonly linkId: number }
  | {
    readonly type: "EditRequested";
    readonly requestId: number;
    readonly edit: TableEdit;
  }
  | { readonly type: "DrainOrdered"; readonly nodeId: string }
  | { readonly type: "Ticked" };

/** What a control replica does about it. */
export type ControlEffect =
  | {
    readonly type: "SendToLink";
    readonly linkId: number;
    readonly message: ControlMessage;
  }
  | {
    readonly type: "AnswerEdit";
    readonly requestId: number;
    readonly outcome: EditOutcome;
  }
  | { readonly type: "RecordEvent"; readonly event: TimelineEvent };

/** A step of a control replica. */
export type ControlStep = Reduction<ControlState, ControlEffect>;

/** A replica that knows nothing yet. */
export const INITIAL_CONTROL: ControlState = {
  tableState: INITIAL_TABLE_STATE,
  membership: INITIAL_MEMBERSHIP,
  links: new Map(),
  holders: INITIAL_HOLDERS,
};

const NEW_LINK: Link = { nodeId: undefined, services: [], tableVersion: 0 };

/** Steps a control replica; `nowMs` is the wall clock in milliseconds. */
export function reduceControl(
  state: ControlState,
  event: ControlEvent,
  nowMs: number,
): ControlStep {
  const step = reduceEvent(state, event, nowMs);
  return chainReduction(step, (next) => stepHolders(state, next, event));
}

function reduceEvent(
  state: ControlState,
  event: ControlEvent,
  nowMs: number,
): ControlStep {
  switch (event.type) {
    case "NodeMessageReceived":
      return receiveMessage(state, event.linkId, event.message, nowMs);
    case "LinkClosed":
      return createReduction({
        ...state,
        links: deleteEntry(state.links, event.linkId),
      });
    case "EditRequested":
      return commitEdit(state, event.requestId, event.edit);
    case "DrainOrdered":
      return createReduction(
        state,
        findLinks(state, (link) => link.nodeId === event.nodeId)
          .map((linkId) => createSend(linkId, { type: "DrainOrder" })),
      );
    case "Ticked":
      return stepMembership(state, { type: "Ticked" }, nowMs);
  }
}

function receiveMessage(
  state: ControlState,
  linkId: number,
  message: NodeMessage,
  nowMs: number,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  switch (message.type) {
    case "Announce":
      return acceptNode(state, linkId, message, nowMs);
    case "Subscribe":
      return subscribe(state, linkId, message.service);
    case "Heartbeat":
      return renew(state, linkId, message, nowMs);
    case "ReportCopied":
      return createReduction(acceptCopy(state, link.nodeId, message));
    case "Leave": {
      const nodeId = link.nodeId ?? "";
      return stepMembership(state, { type: "NodeLeft", nodeId }, nowMs);
    }
  }
}

function acceptNode(
  state: ControlState,
  linkId: number,
  message: Extract<NodeMessage, { type: "Announce" }>,
  nowMs: number,
): ControlStep {
  const { announcement } = message;
  const { nodeId } = announcement;
  const isNewLink = state.links.get(linkId)?.nodeId === undefined;
  const next = updateLink(state, linkId, { nodeId });
  const { table } = state.tableState;
  const update = createSend(linkId, {
    type: "TableUpdate",
    table,
    isConfirmed: true,
  });
  const step = createReduction<ControlState, ControlEffect>(
    next,
    isNewLink ? [update] : [],
  );
  const event: MembershipEvent = { type: "NodeAnnounced", announcement };
  return chainReduction(step, (s) => stepMembership(s, event, nowMs));
}

function subscribe(
  state: ControlState,
  linkId: number,
  service: string,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  const services = [...new Set([...link.services, service])];
  const members = listMembers(state.membership, service);
  return createReduction(updateLink(state, linkId, { services }), [
    createSend(linkId, { type: "MemberList", service, members }),
  ]);
}

function renew(
  state: ControlState,
  linkId: number,
  message: Extract<NodeMessage, { type: "Heartbeat" }>,
  nowMs: number,
): ControlStep {
  const { tableVersion } = message;
  const next = updateLink(state, linkId, { tableVersion });
  const nodeId = next.links.get(linkId)?.nodeId ?? "";
  const event: MembershipEvent = { type: "NodeHeartbeatReceived", nodeId };
  const step = stepMembership(next, event, nowMs);
  const clock = { wallMs: nowMs, counter: 0 };
  const answer = createSend(linkId, { type: "HeartbeatAnswer", clock });
  return appendEffects(step, answer);
}

function commitEdit(
  state: ControlState,
  requestId: number,
  edit: TableEdit,
): ControlStep {
  const { state: tableState, outcome } = applyEdit(state.tableState, edit);
  const answer: ControlEffect = { type: "AnswerEdit", requestId, outcome };
  const isNew = tableState.table.version > state.tableState.table.version;
  const next = { ...state, tableState };
  if (!isNew) {
    return createReduction(next, [answer]);
  }
  const { table } = tableState;
  const { editId, operator } = edit;
  const { version } = table;
  const event = { type: "EditAccepted", version, editId, operator } as const;
  const updates = findLinks(next, (link) => link.nodeId !== undefined)
    .map((id) =>
      createSend(id, { type: "TableUpdate", table, isConfirmed: true })
    );
  return createReduction<ControlState, ControlEffect>(next, [
    answer,
    { type: "RecordEvent", event },
    ...updates,
  ]);
}

function stepMembership(
  state: ControlState,
  event: MembershipEvent,
  nowMs: number,
): ControlStep {
  const step = reduceMembership(state.membership, event, nowMs);
  const next = { ...state, membership: step.state };
  const effects = step.effects.flatMap((effect) =>
    publish(state, next, effect)
  );
  return createReduction(next, effects);
}

function publish(
  before: ControlState,
  state: ControlState,
  effect: MembershipEffect,
): readonly ControlEffect[] {
  if (effect.type === "PublishMember") {
    const { announcement } = effect;
    const { nodeId, service } = announcement;
    const message: ControlMessage = { type: "MemberUpdate", announcement };
    const isNew = !before.membership.members.has(nodeId);
    const joined: ControlEffect = {
      type: "RecordEvent",
      event: { type: "NodeJoined", nodeId },
    };
    const sends = sendToSubscribers(state, service, message);
    return isNew ? [joined, ...sends] : sends;
  }
  const { nodeId, service } = effect;
  const message: ControlMessage = { type: "MemberLoss", service, nodeId };
  return [
    { type: "RecordEvent", event: { type: "NodeLost", nodeId } },
    ...sendToSubscribers(state, service, message),
  ];
}

function sendToSubscribers(
  state: ControlState,
  service: string,
  message: ControlMessage,
): readonly ControlEffect[] {
  return findLinks(state, (link) => link.services.includes(service))
    .map((linkId) => createSend(linkId, message));
}

function updateLink(
  state: ControlState,
  linkId: number,
  change: Partial<Link>,
): ControlState {
  const link = { ...(state.links.get(linkId) ?? NEW_LINK), ...change };
  return { ...state, links: setEntry(state.links, linkId, link) };
}

function findLinks(
  state: ControlState,
  isWanted: (link: Link) => boolean,
): readonly number[] {
  return [...state.links]
    .filter(([, link]) => isWanted(link))
    .map(([linkId]) => linkId);
}

function createSend(linkId: number, message: ControlMessage): ControlEffect {
  return { type: "SendToLink", linkId, message };
}
