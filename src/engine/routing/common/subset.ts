/** The bounded subset of a service's members that one node sends to. */
import { hashText } from "../../../base/common/hash.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** The node that a subset is chosen for. */
export interface RoutingClient {
  readonly nodeId: string;
  readonly dataCentre: string;
}

/**
 * Members of the own data centre in a subset. Choosing the better of two among
 * eight spreads load nearly as well as among all, and one may fail, one drain
 * and one be ejected while enough remain. Each node of a service of M
 * members is called by about 8/M of the callers in its data centre, so the
 * number of its connections stays bounded as the fleet grows.
 */
export const NEAR_SUBSET_SIZE = 8;
/** Members of other data centres in a subset, used when the near ones fail. */
export const FAR_SUBSET_SIZE = 4;

/**
 * Chooses a subset by rendezvous hashing (Thaler and Ravishankar, 1998),
 * members of the own data centre first. Adding or removing one member changes
 * at most one entry of each part.
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
