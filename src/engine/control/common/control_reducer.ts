/**
 * Reducer of the nodes' side of a control replica: links, presence and pushes.
 */
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
  listLinks,
  NEW_LINK,
  updateLink,
} from "./control_state.ts";
import type {
  ControlEvent,
  ControlState,
  ControlStep,
} from "./control_state.ts";
import { createCrashList, replaceCrashes } from "./crash_push.ts";
import { replaceHolders, sendHolders } from "./holder_push.ts";
import {
  createHeartbeatAnswer,
  createMemberList,
  receiveReplica,
  requestDrain,
  stepMembership,
  tickMembership,
} from "./presence_step.ts";
import { recordProofRequest, updateReadRounds } from "./routes_proof.ts";
import {
  confirmRoutes,
  pushRoutes,
  recordRoutesVersion,
} from "./routes_push.ts";
import { recordUsage, tickUsage } from "./usage_step.ts";
import {
  confirmTable,
  pushTable,
  resendTable,
  retainTable,
  sendTable,
} from "./table_push.ts";

/** Applies an event; `nowMs` is the steady clock in milliseconds. */
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
      return updateReadRounds(state, event.readRounds);
    case "HoldersReplaced":
      return replaceHolders(state, event.holders);
    case "CrashesReplaced":
      return replaceCrashes(state, event.crashes, nowMs);
    case "DrainOrdered":
      return requestDrain(state, event.nodeId);
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
      return subscribe(state, linkId, message, nowMs);
    case "Unsubscribe": {
      const services = link.services
        .filter((service) => service !== message.service);
      return createReduction(updateLink(state, linkId, { services }));
    }
    case "Heartbeat":
      return receiveHeartbeat(state, linkId, message, nowMs);
    case "UsageReport": {
      const { usages } = message;
      return createReduction(recordUsage(state, linkId, usages, nowMs));
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
      (s) => sendHolders(s, linkId),
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
      (s) => recordRoutesVersion(s, linkId, { routesVersion, nowMs }),
    ),
    (s) => stepMembership(s, event, nowMs),
  );
}

function subscribe(
  state: ControlState,
  linkId: number,
  { service, wantsCrashes = false }: Extract<
    NodeMessage,
    { type: "Subscribe" }
  >,
  nowMs: number,
): ControlStep {
  const link = state.links.get(linkId) ?? NEW_LINK;
  const services = [...new Set([...link.services, service])];
  const next = updateLink(state, linkId, { services, wantsCrashes });
  // A node must know the evidence before the members that it may call.
  return createReduction(next, [
    ...(wantsCrashes ? createCrashList(next, linkId, { service, nowMs }) : []),
    createSend(linkId, createMemberList(state, service)),
  ]);
}

function receiveHeartbeat(
  state: ControlState,
  linkId: number,
  message: Extract<NodeMessage, { type: "Heartbeat" }>,
  nowMs: number,
): ControlStep {
  const { tableVersion, routesVersion, proof } = message;
  const recorded = recordProofRequest(state, linkId, proof);
  const next = updateLink(recorded, linkId, { tableVersion });
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
    (s) => recordRoutesVersion(s, linkId, { routesVersion, nowMs }),
  );
  return appendEffects(step, createHeartbeatAnswer(state, linkId));
}

function replaceTable(
  state: ControlState,
  event: Extract<ControlEvent, { type: "TableReplaced" }>,
  nowMs: number,
): ControlStep {
  const { tableState, isCurrent } = event;
  const previous = state.tableState.table;
  const replaced = { ...state, tableState, isTableConfirmed: isCurrent };
  const next = tableState.table.version === previous.version
    ? replaced
    : retainTable(replaced, previous);
  if (!isCurrent && state.isTableConfirmed) {
    return notifyUnconfirmed(next);
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
 * Notifies all nodes that this replica can't prove that it is current. They
 * then switch to another replica: at a partitioned one they would miss changes.
 */
function notifyUnconfirmed(state: ControlState): ControlStep {
  const linkIds = listLinks(state, (link) => link.nodeId !== undefined);
  return createReduction(
    state,
    linkIds.map((linkId) => createHeartbeatAnswer(state, linkId)),
  );
}
