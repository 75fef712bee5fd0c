/**
 * The exchange of presence among control replicas: each publishes changes of
 * the nodes linked to it, and digests repair lost changes (anti-entropy).
 */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { isNewerAnnouncement } from "./announcement.ts";
import type { Announcement } from "./announcement.ts";
import { applyDepartures, recordDeparture } from "./departures.ts";
import { updateIndex } from "./member_index.ts";
import type { IndexChange } from "./member_index.ts";
import {
  isOwnerAlive,
  OWNER_RETENTION_MS,
  parseReplicaId,
  UNKNOWN_SEQUENCE,
} from "./membership_state.ts";
import type { MembershipState, Owner } from "./membership_state.ts";
import type {
  OwnerDigest,
  Presence,
  PresenceChannel,
  PresenceDelta,
  PresenceDigest,
  PresenceList,
  PresenceMessage,
} from "./presence_messages.ts";

/**
 * Notifications to subscribers of a service, and messages to other replicas.
 */
export type MembershipEffect =
  | { readonly type: "PublishMember"; readonly announcement: Announcement }
  | {
    readonly type: "PublishMemberLoss";
    readonly nodeId: string;
    readonly service: string;
  }
  /** Sends to every other replica. */
  | { readonly type: "SendPresence"; readonly message: PresenceMessage }
  | {
    readonly type: "ReplyPresence";
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  };

/** A state of presence and the effects of reaching it. */
export type MembershipStep = Reduction<MembershipState, MembershipEffect>;

/**
 * Whether `next` replaces `current`: compares the incarnation, then the link,
 * then the sequence.
 */
export function isNewerPresence(
  next: Presence,
  current: Presence | undefined,
): boolean {
  if (current === undefined) {
    return true;
  }
  const order =
    next.announcement.incarnation - current.announcement.incarnation ||
    next.linkNumber - current.linkNumber ||
    next.announcement.sequence - current.announcement.sequence;
  return order > 0;
}

/** Changes of the nodes of one owner. */
export interface OwnedChange {
  readonly owner: string;
  readonly put: readonly Presence[];
  /**
   * Node ids; nodes that have since been linked to another replica are kept.
   */
  readonly removed: readonly string[];
}

/**
 * Applies the newer parts of a change; copies the maps once for all of them.
 */
export function updateOwnedNodes(
  state: MembershipState,
  change: OwnedChange,
): MembershipStep {
  const { owner } = change;
  const members = new Map(state.members);
  const linkedNodes = new Map(state.linkedNodes);
  const effects: MembershipEffect[] = [];
  const indexChanges: IndexChange[] = [];
  let { departures } = state;
  for (const nodeId of change.removed) {
    const member = members.get(nodeId);
    if (member?.owner === owner) {
      const { service } = member.announcement;
      members.delete(nodeId);
      indexChanges.push({ before: member.announcement, after: undefined });
      effects.push({ type: "PublishMemberLoss", nodeId, service });
    }
  }
  for (const presence of change.put) {
    const { linkNumber } = presence;
    const { nodeId } = presence.announcement;
    const current = members.get(nodeId);
    departures = recordDeparture(
      departures,
      presence.announcement,
      state.lastTickAtMs,
    );
    const announcement = applyDepartures(departures, presence.announcement);
    if (isNewerPresence(presence, current)) {
      members.set(nodeId, { announcement, linkNumber, owner });
      indexChanges.push({ before: current?.announcement, after: announcement });
      if (owner !== state.self) {
        linkedNodes.delete(nodeId);
      }
      if (isNewerAnnouncement(announcement, current?.announcement)) {
        effects.push({ type: "PublishMember", announcement });
      }
    }
  }
  const index = updateIndex(state.index, indexChanges);
  return createReduction(
    { ...state, members, index, linkedNodes, departures },
    effects,
  );
}

/** Receives a message of another replica. */
export function receivePresence(
  state: MembershipState,
  received: {
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  },
  nowMs: number,
): MembershipStep {
  const { channel, message } = received;
  switch (message.type) {
    case "PresenceDelta":
      return applyDelta(state, message, channel, nowMs);
    case "PresenceList":
      return applyList(state, message, nowMs);
    case "PresenceDigest":
      return message.owners.reduce<MembershipStep>(
        (step, digest) =>
          chainReduction(step, (s) => applyDigest(s, digest, channel, nowMs)),
        createReduction(state),
      );
    case "PresenceFetch":
      return answerFetch(state, message.owner, channel);
    case "DrainRelay":
    case "UsageDigest":
      return createReduction(state);
  }
}

/**
 * Creates the digest of this replica and of every other owner that is alive.
 */
export function createDigest(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): PresenceDigest {
  const behind = [...state.linkedNodes]
    .filter(([, node]) => node.tableVersion < tableVersion)
    .map(([nodeId, node]) => [nodeId, node.tableVersion] as const);
  const { self: owner, beat, sequence } = state;
  const own: OwnerDigest = { owner, beat, sequence, tableVersion, behind };
  const others = [...state.owners]
    .filter(([, other]) => isOwnerAlive(other, nowMs))
    .filter(([, other]) => other.sequence !== UNKNOWN_SEQUENCE)
    .map(([name, other]) => createOwnerDigest(name, other));
  return { type: "PresenceDigest", owners: [own, ...others] };
}

/**
 * Removes the nodes of silent replicas, except those that are linked to another
 * replica by now. A replica without contact to a majority may itself be
 * partitioned: it removes none.
 */
export function expireOwners(
  state: MembershipState,
  nowMs: number,
): MembershipStep {
  const silent = [...state.owners]
    .filter(([, owner]) => !isOwnerAlive(owner, nowMs));
  if (silent.length === 0 || !isMajorityAlive(state, nowMs)) {
    return createReduction(state);
  }
  return silent.reduce<MembershipStep>(
    (step, [name, owner]) =>
      chainReduction(step, (s) => expireOwner(s, name, owner, nowMs)),
    createReduction(state),
  );
}

/** Counts replicas, not process instances: a replica may restart often. */
function isMajorityAlive(state: MembershipState, nowMs: number): boolean {
  const all = new Set([parseReplicaId(state.self)]);
  const alive = new Set(all);
  for (const [name, owner] of state.owners) {
    const replicaId = parseReplicaId(name);
    all.add(replicaId);
    if (isOwnerAlive(owner, nowMs)) {
      alive.add(replicaId);
    }
  }
  return alive.size * 2 > all.size;
}

function expireOwner(
  state: MembershipState,
  name: string,
  owner: Owner,
  nowMs: number,
): MembershipStep {
  const isExpired = nowMs - owner.lastReceivedAtMs > OWNER_RETENTION_MS;
  const owners = isExpired
    ? deleteEntry(state.owners, name)
    : setEntry(state.owners, name, { ...owner, sequence: UNKNOWN_SEQUENCE });
  const next = { ...state, owners };
  if (owner.sequence === UNKNOWN_SEQUENCE) {
    return createReduction(next);
  }
  const removed = listOwned(state, name)
    .map((presence) => presence.announcement.nodeId);
  return updateOwnedNodes(next, { owner: name, put: [], removed });
}

function applyDelta(
  state: MembershipState,
  delta: PresenceDelta,
  channel: PresenceChannel,
  nowMs: number,
): MembershipStep {
  const { owner: name, sequence } = delta;
  const owner = state.owners.get(name);
  if (name === state.self || (owner?.sequence ?? -1) >= sequence) {
    return createReduction(state);
  }
  if (owner === undefined || owner.sequence !== delta.fromSequence) {
    return createReduction(state, [createFetchEffect(name, channel)]);
  }
  const owners = setEntry(state.owners, name, {
    ...owner,
    sequence,
    lastReceivedAtMs: nowMs,
  });
  return updateOwnedNodes({ ...state, owners }, delta);
}

function applyList(
  state: MembershipState,
  list: PresenceList,
  nowMs: number,
): MembershipStep {
  const { owner: name, sequence, nodes } = list;
  const owner = state.owners.get(name);
  if (name === state.self || (owner?.sequence ?? -1) >= sequence) {
    return createReduction(state);
  }
  const listed = new Set(nodes.map((node) => node.announcement.nodeId));
  const removed = listOwned(state, name)
    .map((presence) => presence.announcement.nodeId)
    .filter((nodeId) => !listed.has(nodeId));
  const next: Owner = owner === undefined
    ? {
      beat: 0,
      sequence,
      lastReceivedAtMs: nowMs,
      tableVersion: 0,
      behind: new Map(),
    }
    : { ...owner, sequence };
  const owners = setEntry(state.owners, name, next);
  const change = { owner: name, put: nodes, removed };
  return updateOwnedNodes({ ...state, owners }, change);
}

/**
 * Applies the digest of one owner, which may come through another replica: only
 * a heartbeat number that is new proves that the owner is alive.
 */
function applyDigest(
  state: MembershipState,
  digest: OwnerDigest,
  channel: PresenceChannel,
  nowMs: number,
): MembershipStep {
  const { owner: name, beat, sequence, tableVersion } = digest;
  const owner = state.owners.get(name);
  if (name === state.self || (owner?.beat ?? -1) >= beat) {
    return createReduction(state);
  }
  const knownSequence = owner?.sequence ?? UNKNOWN_SEQUENCE;
  const owners = setEntry(state.owners, name, {
    beat,
    sequence: knownSequence,
    lastReceivedAtMs: nowMs,
    tableVersion,
    behind: new Map(digest.behind),
  });
  const next = { ...state, owners };
  return createReduction(
    next,
    knownSequence < sequence ? [createFetchEffect(name, channel)] : [],
  );
}

function answerFetch(
  state: MembershipState,
  name: string,
  channel: PresenceChannel,
): MembershipStep {
  const sequence = name === state.self
    ? state.sequence
    : state.owners.get(name)?.sequence ?? UNKNOWN_SEQUENCE;
  if (sequence === UNKNOWN_SEQUENCE) {
    return createReduction(state);
  }
  const nodes = listOwned(state, name);
  const message: PresenceList = {
    type: "PresenceList",
    owner: name,
    sequence,
    nodes,
  };
  return createReduction(state, [{ type: "ReplyPresence", channel, message }]);
}

function listOwned(
  state: MembershipState,
  owner: string,
): readonly Presence[] {
  return [...state.members.values()]
    .filter((member) => member.owner === owner)
    .map(({ announcement, linkNumber }) => ({ announcement, linkNumber }));
}

function createFetchEffect(
  owner: string,
  channel: PresenceChannel,
): MembershipEffect {
  const message: PresenceMessage = { type: "PresenceFetch", owner };
  return { type: "ReplyPresence", channel, message };
}

function createOwnerDigest(name: string, owner: Owner): OwnerDigest {
  const { beat, sequence, tableVersion, behind } = owner;
  return { owner: name, beat, sequence, tableVersion, behind: [...behind] };
}
