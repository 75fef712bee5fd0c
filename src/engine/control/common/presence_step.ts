/**
 * Steps presence, and notifies subscribers and other replicas of its changes.
 */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { ControlMessage } from "../../link/common/link_messages.ts";
import { reduceMembership } from "../../membership/common/membership_reducer.ts";
import type { MembershipEvent } from "../../membership/common/membership_reducer.ts";
import {
  isMemberListComplete,
  listMembers,
} from "../../membership/common/membership_state.ts";
import type { MembershipEffect } from "../../membership/common/presence.ts";
import type {
  PresenceChannel,
  PresenceMessage,
} from "../../membership/common/presence_messages.ts";
import { recordUsageDigest } from "./usage_step.ts";
import { createSend, listLinks } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
} from "./control_state.ts";

/** Steps presence and publishes its changes. */
export function stepMembership(
  state: ControlState,
  event: MembershipEvent,
  nowMs: number,
): ControlStep {
  const step = reduceMembership(state.membership, event, nowMs);
  const next = { ...state, membership: step.state };
  const effects = step.effects.flatMap((effect) =>
    createNotifications(state, next, effect)
  );
  return createReduction(next, effects);
}

/** Receives a message of another replica. */
export function receiveReplica(
  state: ControlState,
  received: {
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  },
  nowMs: number,
): ControlStep {
  const { channel, message } = received;
  if (message.type === "DrainRelay") {
    return createReduction(state, sendDrainOrder(state, message.nodeId));
  }
  if (message.type === "UsageDigest") {
    return createReduction(recordUsageDigest(state, message, nowMs));
  }
  const event = { type: "PresenceReceived", channel, message } as const;
  const step = stepMembership(state, event, nowMs);
  return message.type === "PresenceDigest" && channel.type === "Accepted"
    ? appendEffects(step, createHeartbeatAnswer(state, channel.linkId))
    : step;
}

/**
 * Creates the answer to a heartbeat, which proves that this replica is alive.
 */
export function createHeartbeatAnswer(
  state: ControlState,
  linkId: number,
): ControlEffect {
  const { isTableConfirmed: isConfirmed, replicas } = state;
  return createSend(linkId, {
    type: "HeartbeatAnswer",
    isConfirmed,
    routesVersion: state.tableState.document.table.version,
    ...(replicas.length === 0 ? {} : { replicas }),
  });
}

/** Sends a drain order to a node, directly or through the other replicas. */
export function requestDrain(state: ControlState, nodeId: string): ControlStep {
  const message: PresenceMessage = { type: "DrainRelay", nodeId };
  return createReduction(state, [
    ...sendDrainOrder(state, nodeId),
    { type: "SendToReplicas", message },
  ]);
}

/**
 * Ticks presence; sends complete lists to subscribers once the replica is warm.
 */
export function tickMembership(
  state: ControlState,
  nowMs: number,
): ControlStep {
  const tableVersion = state.tableState.table.version;
  const step = stepMembership(state, { type: "Ticked", tableVersion }, nowMs);
  return chainReduction(step, (s) => {
    if (s.isWarm || !isMemberListComplete(s.membership, nowMs)) {
      return createReduction(s);
    }
    const warm = { ...s, isWarm: true };
    const sends = [...warm.links].flatMap(([linkId, link]) =>
      link.services.map((service) =>
        createSend(linkId, createMemberList(warm, service))
      )
    );
    return createReduction(warm, sends);
  });
}

/** Creates the list of members that a new subscriber is sent. */
export function createMemberList(
  state: ControlState,
  service: string,
): ControlMessage {
  const members = listMembers(state.membership, service);
  return {
    type: "MemberList",
    service,
    members,
    isComplete: state.isWarm,
  };
}

function createNotifications(
  previous: ControlState,
  state: ControlState,
  effect: MembershipEffect,
): readonly ControlEffect[] {
  switch (effect.type) {
    case "PublishMember": {
      const { announcement } = effect;
      const { nodeId, service } = announcement;
      const message: ControlMessage = { type: "MemberUpdate", announcement };
      const sends = sendToSubscribers(state, service, message);
      return previous.membership.members.has(nodeId) ? sends : [
        { type: "RecordEvent", event: { type: "NodeJoined", nodeId } },
        ...sends,
      ];
    }
    case "PublishMemberLoss": {
      const { nodeId, service } = effect;
      const message: ControlMessage = { type: "MemberLoss", service, nodeId };
      return [
        { type: "RecordEvent", event: { type: "NodeLost", nodeId } },
        ...sendToSubscribers(state, service, message),
      ];
    }
    case "SendPresence":
      return [{ type: "SendToReplicas", message: effect.message }];
    case "ReplyPresence":
      return [createReply(effect.channel, effect.message)];
  }
}

function createReply(
  channel: PresenceChannel,
  message: PresenceMessage,
): ControlEffect {
  return channel.type === "Accepted"
    ? createSend(channel.linkId, message)
    : { type: "SendToReplica", replica: channel.replica, message };
}

function sendToSubscribers(
  state: ControlState,
  service: string,
  message: ControlMessage,
): readonly ControlEffect[] {
  return listLinks(state, (link) => link.services.includes(service))
    .map((linkId) => createSend(linkId, message));
}

function sendDrainOrder(
  state: ControlState,
  nodeId: string,
): readonly ControlEffect[] {
  return listLinks(state, (link) => link.nodeId === nodeId)
    .map((linkId) => createSend(linkId, { type: "DrainOrder" }));
}
