/** Announcements of nodes of one service, for tests. */
import type { Announcement } from "../../membership/common/announcement.ts";

/** Service of all announcements here. */
export const SERVICE = "warehouse";
/** Places of each backend server. */
export const SLOTS = 10;

/** Creates what the node at `address` announces. */
export function createAnnouncement(
  address: string,
  dataCentre = "a",
): Announcement {
  return {
    nodeId: address,
    incarnation: 1,
    sequence: 1,
    service: SERVICE,
    dataCentre,
    region: "r",
    vm: address,
    ingress: address,
    operator: address,
    slots: SLOTS,
    connections: 10,
    isDraining: false,
  };
}
