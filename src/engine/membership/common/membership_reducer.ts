/**
 * Reducer of the presence of nodes: leases of the nodes linked to this replica,
 * and the exchange with the other replicas.
 */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { setEntry } from "../../../base/common/maps.ts";
import type { Announcement } from "./announcement.ts";
import { applyDepartures, pruneDepartures } from "./departures.ts";
import {
  DIGEST_INTERVAL_MS,
  LEASE_MS,
  MAX_TICK_GAP_MS,
} from "./membership_state.ts";
import type { LinkedNode, MembershipState } from "./membership_state.ts";
import { createDigest, expireOwners, receivePresence } from "./presence.ts";
import { isNewerPresence, updateOwnedNodes } from "./presence.ts";
import type { MembershipEffect, MembershipStep } from "./presence.ts";
import type {
  Presence,
  PresenceChannel,
  PresenceMessage,
} from "./presence_messages.ts";

/** An event that changes presence. */
export type MembershipEvent =
  | {
    readonly type: "NodeAnnounced";
    readonly announcement: Announcement;
    readonly linkNumber: number;
    readonly tableVersion: number;
  }
  | {
    readonly type: "NodeHeartbeatReceived";
    readonly nodeId: string;
    readonly tableVersion: number;
  }
  | { readonly type: "NodeLeft"; readonly nodeId: string }
  | {
    readonly type: "PresenceReceived";
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  }
  /** `tableVersion` is the version of the table in force at this replica. */
  | { readonly type: "Ticked"; readonly tableVersion: number };

/** Applies an event; `nowMs` is the steady clock in milliseconds. */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
  nowMs: number,
): MembershipStep {
  switch (event.type) {
    case "NodeAnnounced":
      return acceptAnnouncement(state, event, nowMs);
    case "NodeHeartbeatReceived":
      return createReduction(renewLease(state, event, nowMs));
    case "NodeLeft":
      return removeLinkedNodes(state, [event.nodeId]);
    case "PresenceReceived":
      return receivePresence(state, event, nowMs);
    case "Ticked":
      return tick(state, event.tableVersion, nowMs);
  }
}

/**
 * Accepts an announcement. One that is not newer, such as a late one of an
 * older link, only renews the lease.
 */
function acceptAnnouncement(
  state: MembershipState,
  event: Extract<MembershipEvent, { type: "NodeAnnounced" }>,
  nowMs: number,
): MembershipStep {
  const { linkNumber, tableVersion } = event;
  const announcement = applyDepartures(state.departures, event.announcement);
  const { nodeId } = announcement;
  const presence: Presence = { announcement, linkNumber };
  if (!isNewerPresence(presence, state.members.get(nodeId))) {
    const heartbeat = { nodeId, tableVersion };
    return createReduction(renewLease(state, heartbeat, nowMs));
  }
  const change = { owner: state.self, put: [presence], removed: [] };
  const step = updateOwnedNodes(state, change);
  const node: LinkedNode = { lastReceivedAtMs: nowMs, tableVersion };
  const next: MembershipState = {
    ...step.state,
    sequence: state.sequence + 1,
    linkedNodes: setEntry(state.linkedNodes, nodeId, node),
  };
  const delta: MembershipEffect = {
    type: "SendPresence",
    message: {
      type: "PresenceDelta",
      owner: state.self,
      fromSequence: state.sequence,
      sequence: next.sequence,
      put: [presence],
      removed: [],
    },
  };
  return createReduction(next, [...step.effects, delta]);
}

function renewLease(
  state: MembershipState,
  heartbeat: { readonly nodeId: string; readonly tableVersion: number },
  nowMs: number,
): MembershipState {
  const { nodeId, tableVersion } = heartbeat;
  if (!state.linkedNodes.has(nodeId)) {
    return state;
  }
  const node: LinkedNode = { lastReceivedAtMs: nowMs, tableVersion };
  return { ...state, linkedNodes: setEntry(state.linkedNodes, nodeId, node) };
}

function tick(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): MembershipStep {
  const isPaused = Math.abs(nowMs - state.lastTickAtMs) > MAX_TICK_GAP_MS;
  const current = isPaused ? renewAllLeases(state, nowMs) : state;
  const silent = [...current.linkedNodes]
    .filter(([, node]) => nowMs - node.lastReceivedAtMs > LEASE_MS)
    .map(([nodeId]) => nodeId);
  const departures = pruneDepartures(current.departures, nowMs);
  const step = removeLinkedNodes(
    { ...current, departures, lastTickAtMs: nowMs },
    silent,
  );
  return chainReduction(
    chainReduction(step, (s) => expireOwners(s, nowMs)),
    (s) => sendDigest(s, tableVersion, nowMs),
  );
}

/**
 * Renews all leases after a suspension of this process or a step of its clock,
 * which would otherwise make every other process appear silent.
 */
function renewAllLeases(
  state: MembershipState,
  nowMs: number,
): MembershipState {
  const linkedNodes = [...state.linkedNodes].map(([nodeId, node]) =>
    [nodeId, { ...node, lastReceivedAtMs: nowMs }] as const
  );
  const owners = [...state.owners].map(([name, owner]) =>
    [name, { ...owner, lastReceivedAtMs: nowMs }] as const
  );
  return {
    ...state,
    lastDigestAtMs: nowMs - DIGEST_INTERVAL_MS,
    linkedNodes: new Map(linkedNodes),
    owners: new Map(owners),
  };
}

function sendDigest(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): MembershipStep {
  if (nowMs - state.lastDigestAtMs < DIGEST_INTERVAL_MS) {
    return createReduction(state);
  }
  const next = { ...state, lastDigestAtMs: nowMs, beat: state.beat + 1 };
  const message = createDigest(next, tableVersion, nowMs);
  return createReduction(next, [{ type: "SendPresence", message }]);
}

/**
 * Removes nodes that are linked to this replica, and notifies the other
 * replicas.
 */
function removeLinkedNodes(
  state: MembershipState,
  nodeIds: readonly string[],
): MembershipStep {
  const removed = nodeIds.filter((nodeId) => state.linkedNodes.has(nodeId));
  if (removed.length === 0) {
    return createReduction(state);
  }
  const linkedNodes = new Map(state.linkedNodes);
  removed.forEach((nodeId) => linkedNodes.delete(nodeId));
  const sequence = state.sequence + 1;
  const { self: owner, sequence: fromSequence } = state;
  const change = { owner, put: [], removed };
  const step = updateOwnedNodes(
    { ...state, sequence, linkedNodes },
    change,
  );
  return appendEffects(step, {
    type: "SendPresence",
    message: { type: "PresenceDelta", ...change, fromSequence, sequence },
  });
}
