/**
 * Plans the holder sets that the leader proposes, from its state of presence.
 */
import {
  hasAllHolders,
  planHolders,
} from "../../claims/common/holder_set_reducer.ts";
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type { NodeMessage } from "../../link/common/link_messages.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { ControlState } from "./control_state.ts";
import type { HoldersState } from "./holders.ts";

/**
 * Plans the changes that the sets need. Until its list of nodes is complete, a
 * replica may create and enlarge sets, but considers no holder lost.
 */
export function planHolderChanges(
  control: ControlState,
  holders: HoldersState,
): readonly HolderCommand[] {
  return [...collectMembers(control)].flatMap(([service, nodes]) => {
    const current = holders.get(service);
    const members = planHolders(current, nodes, service);
    const retained = (current?.proposed ?? current?.active)?.members ?? [];
    const isAllowed = members !== undefined &&
      (control.isWarm || hasAllHolders(members, retained));
    const fromEpoch = current?.lastEpoch ?? 0;
    return isAllowed
      ? [{ type: "HolderSetProposed", service, members, fromEpoch }]
      : [];
  });
}

/**
 * Creates the command for a node's report that it has copied a set; undefined
 * if the node is no member.
 */
export function createCopiedCommand(
  control: ControlState,
  linkId: number,
  report: Extract<NodeMessage, { type: "ReportCopied" }>,
): HolderCommand | undefined {
  const nodeId = control.links.get(linkId)?.nodeId ?? "";
  const member = control.membership.members.get(nodeId);
  if (member === undefined) {
    return undefined;
  }
  const { service, epoch } = report;
  const { incarnation } = member.announcement;
  return { type: "HolderCopied", service, epoch, nodeId, incarnation };
}

function collectMembers(
  { membership }: ControlState,
): ReadonlyMap<string, readonly Announcement[]> {
  const membersByService = new Map<string, Announcement[]>();
  for (const { announcement } of membership.members.values()) {
    const members = membersByService.get(announcement.service) ?? [];
    members.push(announcement);
    membersByService.set(announcement.service, members);
  }
  return membersByService;
}
