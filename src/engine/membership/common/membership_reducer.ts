/** Presence of the nodes: leases of those heard here, and the exchange. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { setEntry } from "../../../base/common/maps.ts";
import type { Announcement } from "./announcement.ts";
import { DIGEST_MS, LEASE_MS, PAUSE_MS } from "./membership_state.ts";
import type { DirectNode, MembershipState } from "./membership_state.ts";
import { createDigest, expireOwners, receivePresence } from "./presence.ts";
import { changeOwned, isNewerPresence } from "./presence.ts";
import type { MembershipEffect, MembershipStep } from "./presence.ts";
import type {
  Presence,
  PresenceChannel,
  PresenceMessage,
} from "./presence_messages.ts";

/** What happens to presence. */
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
  /** `tableVersion` is the one in force at this replica. */
  | { readonly type: "Ticked"; readonly tableVersion: number };

/** Steps the presence of the nodes. */
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
      return dropDirect(state, [event.nodeId]);
    case "PresenceReceived":
      return receivePresence(state, event, nowMs);
    case "Ticked":
      return tick(state, event.tableVersion, nowMs);
  }
}

/** An older link's announcement, arriving late, changes nothing. */
function acceptAnnouncement(
  state: MembershipState,
  event: Extract<MembershipEvent, { type: "NodeAnnounced" }>,
  nowMs: number,
): MembershipStep {
  const { announcement, linkNumber, tableVersion } = event;
  const { nodeId } = announcement;
  const presence: Presence = { announcement, linkNumber };
  if (!isNewerPresence(presence, state.members.get(nodeId))) {
    const heard = { nodeId, tableVersion };
    return createReduction(renewLease(state, heard, nowMs));
  }
  const change = { owner: state.self, put: [presence], removed: [] };
  const step = changeOwned(state, change);
  const node: DirectNode = { heardMs: nowMs, tableVersion };
  const next: MembershipState = {
    ...step.state,
    sequence: state.sequence + 1,
    direct: setEntry(state.direct, nodeId, node),
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
  heard: { readonly nodeId: string; readonly tableVersion: number },
  nowMs: number,
): MembershipState {
  const { nodeId, tableVersion } = heard;
  if (!state.direct.has(nodeId)) {
    return state;
  }
  const node: DirectNode = { heardMs: nowMs, tableVersion };
  return { ...state, direct: setEntry(state.direct, nodeId, node) };
}

function tick(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): MembershipStep {
  const isPaused = Math.abs(nowMs - state.lastTickMs) > PAUSE_MS;
  const awake = isPaused ? resetLeases(state, nowMs) : state;
  const silent = [...awake.direct]
    .filter(([, node]) => nowMs - node.heardMs > LEASE_MS)
    .map(([nodeId]) => nodeId);
  const step = dropDirect({ ...awake, lastTickMs: nowMs }, silent);
  return chainReduction(
    chainReduction(step, (s) => expireOwners(s, nowMs)),
    (s) => sendDigest(s, tableVersion, nowMs),
  );
}

/** This process stood still or its clock jumped: nobody else was silent. */
function resetLeases(state: MembershipState, nowMs: number): MembershipState {
  const direct = [...state.direct].map(([nodeId, node]) =>
    [nodeId, { ...node, heardMs: nowMs }] as const
  );
  const owners = [...state.owners].map(([name, owner]) =>
    [name, { ...owner, heardMs: nowMs }] as const
  );
  return {
    ...state,
    lastDigestMs: nowMs - DIGEST_MS,
    direct: new Map(direct),
    owners: new Map(owners),
  };
}

function sendDigest(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): MembershipStep {
  if (nowMs - state.lastDigestMs < DIGEST_MS) {
    return createReduction(state);
  }
  const next = { ...state, lastDigestMs: nowMs, beat: state.beat + 1 };
  const message = createDigest(next, tableVersion, nowMs);
  return createReduction(next, [{ type: "SendPresence", message }]);
}

/** Removes nodes that are heard here and tells the other replicas. */
function dropDirect(
  state: MembershipState,
  nodeIds: readonly string[],
): MembershipStep {
  const removed = nodeIds.filter((nodeId) => state.direct.has(nodeId));
  if (removed.length === 0) {
    return createReduction(state);
  }
  const direct = new Map(state.direct);
  removed.forEach((nodeId) => direct.delete(nodeId));
  const sequence = state.sequence + 1;
  const { self: owner, sequence: fromSequence } = state;
  const change = { owner, put: [], removed };
  const step = changeOwned({ ...state, sequence, direct }, change);
  return appendEffects(step, {
    type: "SendPresence",
    message: { type: "PresenceDelta", ...change, fromSequence, sequence },
  });
}
