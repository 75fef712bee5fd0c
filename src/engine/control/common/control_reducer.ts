/** The one reducer of a control replica: table, presence and links. */
import { deleteEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import type { NodeMessage } from "../../link/common/link_messages.ts";
import type { MembershipEvent } from "../../membership/common/membership_reducer.ts";
import {
  createSend,
  findLinks,
  NEW_LINK,
  updateLink,
} from "./control_state.ts";
import type {
  ControlEvent,
  ControlState,
  ControlStep,
} from "./control_state.ts";
import { replaceHolders, tellHolders } from "./holder_push.ts";
import {
  createHeartbeatAnswer,
  createMemberList,
  orderDrain,
  receiveReplica,
  stepMembership,
  tickMembership,
} from "./presence_step.ts";
import { noteQuestion, replaceRounds } from "./routes_proof.ts";
import { confirmRoutes, noteRoutes, pushRoutes } from "./routes_push.ts";
import { noteUsage, tickUsage } from "./usage_step.ts";
import {
  confirmTable,
  pushTable,
  rememberTable,
  resendTable,
  sendTable,
} from "./table_push.ts";

/** Steps a control replica; `nowMs` is the wall clock in milliseconds. */
export function reduceControl(
  state: ControlState,
  event: ControlEvent,
  nowMs: number,
): ControlStep {
  switch (event.type) {
    case "NodeMessageReceived":
      return receiveMessage(state, event.linkId, event.message, nowMs);
    case "PresenceReceived":
      return receiveReplica(state, event, nowMs);
    case "LinkClosed":
      return createReduction({
        ...state,
        links: deleteEntry(state.links, event.linkId),
      });
    case "TableReplaced":
      return replaceTable(state, event, nowMs);
    case "RoundsReplaced":
      return replaceRounds(state, event.readRounds);
    case "HoldersReplaced":
      return replaceHolders(state, event.holders);
    case "DrainOrdered":
      return orderDrain(state, event.nodeId);
    case "Ticked":
      return chainReduction(
        tickMembership(state, nowMs),
        (s) => tickUsage(s, nowMs),
      );
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
    case "Unsubscribe": {
      const services = link.services
        .filter((service) => service !== message.service);
      return createReduction(updateLink(state, linkId, { services }));
    }
    case "Heartbeat":
      return renew(state, linkId, message, nowMs);
    case "UsageReport": {
      const { usages } = message;
      return createReduction(noteUsage(state, linkId, usages, nowMs));
    }
    case "ReportCopied":
      return createReduction(state);
    case "TableFetch": {
      const { tableVersion: fromVersion } = message;
      return sendTable(state, linkId, { fromVersion, nowMs });
    }
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
  const { announcement, linkNumber, tableVersion, routesVersion } = message;
  const { nodeId, service } = announcement;
  const isNewLink = state.links.get(linkId)?.nodeId === undefined;
  const next = updateLink(state, linkId, { nodeId, service, tableVersion });
  const step: ControlStep = isNewLink
    ? chainReduction(
      sendTable(next, linkId, { fromVersion: tableVersion, nowMs }),
      (s) => tellHolders(s, linkId),
    )
    : createReduction(next);
  const event: MembershipEvent = {
    type: "NodeAnnounced",
    announcement,
    linkNumber,
    tableVersion,
  };
  return chainReduction(
    chainReduction(
      step,
      (s) => noteRoutes(s, linkId, { routesVersion, nowMs }),
    ),
    (s) => stepMembership(s, event, nowMs),
  );
}

function subscribe(
  state: ControlState,
  linkId: number,
  service: string,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  const services = [...new Set([...link.services, service])];
  return createReduction(updateLink(state, linkId, { services }), [
    createSend(linkId, createMemberList(state, service)),
  ]);
}

function renew(
  state: ControlState,
  linkId: number,
  message: Extract<NodeMessage, { type: "Heartbeat" }>,
  nowMs: number,
): ControlStep {
  const { tableVersion, routesVersion, proof } = message;
  const asked = noteQuestion(state, linkId, proof);
  const next = updateLink(asked, linkId, { tableVersion });
  const nodeId = next.links.get(linkId)?.nodeId ?? "";
  const event: MembershipEvent = {
    type: "NodeHeartbeatReceived",
    nodeId,
    tableVersion,
  };
  const step = chainReduction(
    chainReduction(
      stepMembership(next, event, nowMs),
      (s) => resendTable(s, linkId, nowMs),
    ),
    (s) => noteRoutes(s, linkId, { routesVersion, nowMs }),
  );
  return appendEffects(step, createHeartbeatAnswer(state, linkId));
}

function replaceTable(
  state: ControlState,
  event: Extract<ControlEvent, { type: "TableReplaced" }>,
  nowMs: number,
): ControlStep {
  const { tableState, isCurrent } = event;
  const before = state.tableState.table;
  const replaced = { ...state, tableState, isTableConfirmed: isCurrent };
  const next = tableState.table.version === before.version
    ? replaced
    : rememberTable(replaced, before);
  if (!isCurrent && state.isTableConfirmed) {
    return tellUnconfirmed(next);
  }
  return isCurrent && !state.isTableConfirmed
    ? chainReduction(
      confirmTable(next, nowMs),
      (s) => confirmRoutes(s, nowMs),
    )
    : chainReduction(
      pushTable(next, nowMs),
      (s) => pushRoutes(s, nowMs),
    );
}

/**
 * Nodes go to another replica as soon as this one can't prove that it is
 * current: behind a cut they would miss what the others accept.
 */
function tellUnconfirmed(state: ControlState): ControlStep {
  const linkIds = findLinks(state, (link) => link.nodeId !== undefined);
  return createReduction(
    state,
    linkIds.map((linkId) => createHeartbeatAnswer(state, linkId)),
  );
}
