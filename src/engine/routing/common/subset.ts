/** The bounded part of a service that one node sends to. */
import { hashText } from "../../../base/common/hash.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** Whose subset it is. */
export interface RoutingClient {
  readonly nodeId: string;
  readonly dataCentre: string;
}

/**
 * Backend servers of the own data centre in a subset. Two choices among eight
 * already spread load nearly as well as among all, and one may fail, one drain
 * and one be ejected without a gap; a node of a service of M is then called by
 * about 8/M of the callers near it, so its connections stay bounded as the
 * fleet grows.
 */
export const NEAR_SUBSET_SIZE = 8;
/** Backend servers of other data centres in a subset, for spilling over. */
export const FAR_SUBSET_SIZE = 4;

/**
 * Chooses a subset by rendezvous hashing (Thaler and Ravishankar, 1998), the
 * own data centre first. One member more or less changes one place at most in
 * each half.
 */
export function chooseSubset(
  members: Iterable<Announcement>,
  client: RoutingClient,
): readonly Announcement[] {
  const near: Announcement[] = [];
  const far: Announcement[] = [];
  for (const member of members) {
    const isNear = member.dataCentre === client.dataCentre;
    (isNear ? near : far).push(member);
  }
  return [
    ...rankMembers(near, client).slice(0, NEAR_SUBSET_SIZE),
    ...rankMembers(far, client).slice(0, FAR_SUBSET_SIZE),
  ];
}

function rankMembers(
  members: readonly Announcement[],
  client: RoutingClient,
): readonly Announcement[] {
  return members
    .map((member) => ({
      member,
      score: hashText(`${client.nodeId}|${member.nodeId}`),
    }))
    .sort((a, b) =>
      b.score - a.score || (a.member.nodeId < b.member.nodeId ? -1 : 1)
    )
    .map(({ member }) => member);
}
