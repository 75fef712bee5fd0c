/** Test announcements of the nodes of one service. */
import type { Announcement } from "../../membership/common/announcement.ts";

/** Service of all test announcements. */
export const SERVICE = "warehouse";
/** Slots of each backend server. */
export const SLOTS = 10;

/** Creates the announcement of the node at `address`. */
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
