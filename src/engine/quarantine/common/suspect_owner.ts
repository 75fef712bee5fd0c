/** Selects the node of a service that owns a suspect, and so decides on it. */
import { hashText } from "../../../base/common/hash.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/**
 * Chooses the owner by rendezvous hashing (Thaler and Ravishankar, 1998). Nodes
 * with the same view of the members choose the same owner, and a member that
 * joins or leaves moves only the suspects that it owns. Returns undefined
 * without members.
 */
export function chooseOwner(
  members: Iterable<Announcement>,
  fingerprint: Fingerprint,
): Announcement | undefined {
  let owner: Announcement | undefined;
  let maxScore = -1;
  for (const member of members) {
    const score = hashText(`${fingerprint}|${member.nodeId}`);
    const isPreferred = score > maxScore ||
      (score === maxScore && member.nodeId < owner!.nodeId);
    if (isPreferred) {
      owner = member;
      maxScore = score;
    }
  }
  return owner;
}
