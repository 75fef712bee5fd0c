/** Leased presence of the nodes, as one control replica holds it. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { isNewerAnnouncement } from "./announcement.ts";
import type { Announcement } from "./announcement.ts";

/** A node whose lease runs. */
export interface Member {
  readonly announcement: Announcement;
  /** Wall clock in milliseconds. */
  readonly leaseEndsAtMs: number;
}

/** All members by node id. */
export interface MembershipState {
  readonly members: ReadonlyMap<string, Member>;
}

/** What happens to presence. */
export type MembershipEvent =
  | { readonly type: "NodeAnnounced"; readonly announcement: Announcement }
  | { readonly type: "NodeHeartbeatReceived"; readonly nodeId: string }
  | { readonly type: "NodeLeft"; readonly nodeId: string }
  | { readonly type: "Ticked" };

/** What subscribers of a service are told. */
export type MembershipEffect =
  | { readonly type: "PublishMember"; readonly announcement: Announcement }
  | {
    readonly type: "PublishMemberLoss";
    readonly nodeId: string;
    readonly service: string;
  };

/** How long a node is a member after it was last heard. */
export const LEASE_MS = 5_000;

/** Nobody announced yet. */
export const INITIAL_MEMBERSHIP: MembershipState = { members: new Map() };

/** Steps the presence of the nodes. */
export function reduceMembership(
  state: MembershipState,
  event: MembershipEvent,
  nowMs: number,
): Reduction<MembershipState, MembershipEffect> {
  switch (event.type) {
    case "NodeAnnounced":
      return acceptAnnouncement(state, event.announcement, nowMs);
    case "NodeHeartbeatReceived":
      return createReduction(renewLease(state, event.nodeId, nowMs));
    case "NodeLeft":
      return removeMembers(state, [event.nodeId]);
    case "Ticked":
      return removeMembers(state, findExpired(state, nowMs));
  }
}

/** Lists the members of one service. */
export function listMembers(
  state: MembershipState,
  service: string,
): readonly Announcement[] {
  return [...state.members.values()]
    .map((member) => member.announcement)
    .filter((announcement) => announcement.service === service);
}

function acceptAnnouncement(
  state: MembershipState,
  announcement: Announcement,
  nowMs: number,
): Reduction<MembershipState, MembershipEffect> {
  const current = state.members.get(announcement.nodeId);
  if (!isNewerAnnouncement(announcement, current?.announcement)) {
    return createReduction(renewLease(state, announcement.nodeId, nowMs));
  }
  const member = { announcement, leaseEndsAtMs: nowMs + LEASE_MS };
  const members = setEntry(state.members, announcement.nodeId, member);
  return createReduction({ members }, [{
    type: "PublishMember",
    announcement,
  }]);
}

function renewLease(
  state: MembershipState,
  nodeId: string,
  nowMs: number,
): MembershipState {
  const member = state.members.get(nodeId);
  if (member === undefined) {
    return state;
  }
  const renewed = { ...member, leaseEndsAtMs: nowMs + LEASE_MS };
  return { members: setEntry(state.members, nodeId, renewed) };
}

function findExpired(
  state: MembershipState,
  nowMs: number,
): readonly string[] {
  return [...state.members]
    .filter(([, member]) => member.leaseEndsAtMs < nowMs)
    .map(([nodeId]) => nodeId);
}

function removeMembers(
  state: MembershipState,
  nodeIds: readonly string[],
): Reduction<MembershipState, MembershipEffect> {
  let members = state.members;
  const effects: MembershipEffect[] = [];
  for (const nodeId of nodeIds) {
    const member = members.get(nodeId);
    if (member !== undefined) {
      const { service } = member.announcement;
      members = deleteEntry(members, nodeId);
      effects.push({ type: "PublishMemberLoss", nodeId, service });
    }
  }
  return createReduction({ members }, effects);
}
