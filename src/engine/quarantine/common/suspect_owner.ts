/** Which node of a service decides on a suspect. */
import { hashText } from "../../../base/common/hash.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/**
 * Chooses the owner by rendezvous hashing (Thaler and Ravishankar, 1998):
 * nodes that know the same members choose the same one, and a member more or
 * less moves only the suspects that it owns. Undefined without members.
 */
export function chooseOwner(
  members: Iterable<Announcement>,
  fingerprint: Fingerprint,
): Announcement | undefined {
  let owner: Announcement | undefined;
  let best = -1;
  for (const member of members) {
    const score = hashText(`${fingerprint}|${member.nodeId}`);
    const isBetter = score > best ||
      (score === best && member.nodeId < owner!.nodeId);
    if (isBetter) {
      owner = member;
      best = score;
    }
  }
  return owner;
}
