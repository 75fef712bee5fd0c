/** The exchange of presence among control replicas, with anti-entropy. */
import { createReduction } from "../../../base/common/reduction.ts";
import { chainReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import type { Announcement } from "./announcement.ts";
import {
  FORGET_OWNER_MS,
  isOwnerHeard,
  readReplicaId,
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

/** What subscribers of a service and other replicas are told. */
export type MembershipEffect =
  | { readonly type: "PublishMember"; readonly announcement: Announcement }
  | {
    readonly type: "PublishMemberLoss";
    readonly nodeId: string;
    readonly service: string;
  }
  /** To every other replica. */
  | { readonly type: "SendPresence"; readonly message: PresenceMessage }
  | {
    readonly type: "ReplyPresence";
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  };

/** A step of presence. */
export type MembershipStep = Reduction<MembershipState, MembershipEffect>;

/** Whether `next` was said after `current`: by process, link, then change. */
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

/** Puts a member where it is newer; the same state where it isn't. */
export function putMember(
  state: MembershipState,
  presence: Presence,
  owner: string,
): MembershipStep {
  const { announcement, linkNumber } = presence;
  const { nodeId } = announcement;
  const current = state.members.get(nodeId);
  if (!isNewerPresence(presence, current)) {
    return createReduction(state);
  }
  const member = { announcement, linkNumber, owner };
  const isLostHere = current?.owner === state.self && owner !== state.self;
  const next: MembershipState = {
    ...state,
    members: setEntry(state.members, nodeId, member),
    direct: isLostHere ? deleteEntry(state.direct, nodeId) : state.direct,
  };
  const known = current?.announcement;
  const isSaid = known?.incarnation === announcement.incarnation &&
    known.sequence === announcement.sequence;
  return createReduction(
    next,
    isSaid ? [] : [{ type: "PublishMember", announcement }],
  );
}

/** Removes a member, unless another replica hears it by now. */
export function removeMember(
  state: MembershipState,
  nodeId: string,
  owner: string,
): MembershipStep {
  const member = state.members.get(nodeId);
  if (member?.owner !== owner) {
    return createReduction(state);
  }
  const { service } = member.announcement;
  const members = deleteEntry(state.members, nodeId);
  return createReduction({ ...state, members }, [
    { type: "PublishMemberLoss", nodeId, service },
  ]);
}

/** Takes a message of another replica. */
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
      return createReduction(state);
  }
}

/** Says what this replica knows of every owner that is alive. */
export function createDigest(
  state: MembershipState,
  tableVersion: number,
  nowMs: number,
): PresenceDigest {
  const behind = [...state.direct]
    .filter(([, node]) => node.tableVersion < tableVersion)
    .map(([nodeId, node]) => [nodeId, node.tableVersion] as const);
  const { self: owner, beat, sequence } = state;
  const own: OwnerDigest = { owner, beat, sequence, tableVersion, behind };
  const others = [...state.owners]
    .filter(([, other]) => isOwnerHeard(other, nowMs))
    .filter(([, other]) => other.sequence !== UNKNOWN_SEQUENCE)
    .map(([name, other]) => createOwnerDigest(name, other));
  return { type: "PresenceDigest", owners: [own, ...others] };
}

/**
 * Removes the nodes of silent replicas that no other replica hears. A replica
 * that doesn't hear most of the others may itself be cut off: it removes none.
 */
export function expireOwners(
  state: MembershipState,
  nowMs: number,
): MembershipStep {
  const silent = [...state.owners]
    .filter(([, owner]) => !isOwnerHeard(owner, nowMs));
  if (silent.length === 0 || !isMostHeard(state, nowMs)) {
    return createReduction(state);
  }
  return silent.reduce<MembershipStep>(
    (step, [name, owner]) =>
      chainReduction(step, (s) => expireOwner(s, name, owner, nowMs)),
    createReduction(state),
  );
}

/** Counts replicas, not runs: one that restarts often is still one. */
function isMostHeard(state: MembershipState, nowMs: number): boolean {
  const all = new Set([readReplicaId(state.self)]);
  const heard = new Set(all);
  for (const [name, owner] of state.owners) {
    const replicaId = readReplicaId(name);
    all.add(replicaId);
    if (isOwnerHeard(owner, nowMs)) {
      heard.add(replicaId);
    }
  }
  return heard.size * 2 > all.size;
}

function expireOwner(
  state: MembershipState,
  name: string,
  owner: Owner,
  nowMs: number,
): MembershipStep {
  const isForgotten = nowMs - owner.heardMs > FORGET_OWNER_MS;
  const owners = isForgotten
    ? deleteEntry(state.owners, name)
    : setEntry(state.owners, name, { ...owner, sequence: UNKNOWN_SEQUENCE });
  const step = createReduction<MembershipState, MembershipEffect>({
    ...state,
    owners,
  });
  if (owner.sequence === UNKNOWN_SEQUENCE) {
    return step;
  }
  return findOwned(state, name).reduce(
    (last, presence) =>
      chainReduction(
        last,
        (s) => removeMember(s, presence.announcement.nodeId, name),
      ),
    step,
  );
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
    return createReduction(state, [createFetch(name, channel)]);
  }
  const owners = setEntry(state.owners, name, {
    ...owner,
    sequence,
    heardMs: nowMs,
  });
  const start = createReduction<MembershipState, MembershipEffect>({
    ...state,
    owners,
  });
  return changeOwned(start, delta);
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
  const removed = findOwned(state, name)
    .map((presence) => presence.announcement.nodeId)
    .filter((nodeId) => !listed.has(nodeId));
  const next: Owner = owner === undefined
    ? { beat: 0, sequence, heardMs: nowMs, tableVersion: 0, behind: new Map() }
    : { ...owner, sequence };
  const owners = setEntry(state.owners, name, next);
  const start = createReduction<MembershipState, MembershipEffect>({
    ...state,
    owners,
  });
  return changeOwned(start, { owner: name, put: nodes, removed });
}

function changeOwned(
  start: MembershipStep,
  change: Pick<PresenceDelta, "owner" | "put" | "removed">,
): MembershipStep {
  const { owner, put, removed } = change;
  const reduced = removed.reduce(
    (step, nodeId) =>
      chainReduction(step, (s) => removeMember(s, nodeId, owner)),
    start,
  );
  return put.reduce(
    (step, presence) =>
      chainReduction(step, (s) => putMember(s, presence, owner)),
    reduced,
  );
}

/** Only a beat that was never seen proves that the owner lives. */
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
  const known = owner?.sequence ?? UNKNOWN_SEQUENCE;
  const owners = setEntry(state.owners, name, {
    beat,
    sequence: known,
    heardMs: nowMs,
    tableVersion,
    behind: new Map(digest.behind),
  });
  const next = { ...state, owners };
  return createReduction(
    next,
    known < sequence ? [createFetch(name, channel)] : [],
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
  const nodes = findOwned(state, name);
  const message: PresenceList = {
    type: "PresenceList",
    owner: name,
    sequence,
    nodes,
  };
  return createReduction(state, [{ type: "ReplyPresence", channel, message }]);
}

function findOwned(
  state: MembershipState,
  owner: string,
): readonly Presence[] {
  return [...state.members.values()]
    .filter((member) => member.owner === owner)
    .map(({ announcement, linkNumber }) => ({ announcement, linkNumber }));
}

function createFetch(
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
