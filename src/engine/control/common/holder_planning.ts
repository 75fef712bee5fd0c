/** What the leader proposes for the holder sets, from presence as it sees it. */
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
 * Plans the changes that the sets need. Until its list of nodes is complete a
 * replica may found and enlarge sets, but takes no holder for lost.
 */
export function planChanges(
  control: ControlState,
  holders: HoldersState,
): readonly HolderCommand[] {
  return [...collectServices(control)].flatMap(([service, nodes]) => {
    const current = holders.get(service);
    const members = planHolders(current, nodes, service);
    const staying = (current?.proposed ?? current?.active)?.members ?? [];
    const isAllowed = members !== undefined &&
      (control.isWarm || hasAllHolders(members, staying));
    const fromEpoch = current?.lastEpoch ?? 0;
    return isAllowed
      ? [{ type: "HolderSetProposed", service, members, fromEpoch }]
      : [];
  });
}

/** Reads a node's report as the command that it comes to. */
export function readCopy(
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

function collectServices(
  { membership }: ControlState,
): ReadonlyMap<string, readonly Announcement[]> {
  const groups = new Map<string, Announcement[]>();
  for (const { announcement } of membership.members.values()) {
    const group = groups.get(announcement.service) ?? [];
    group.push(announcement);
    groups.set(announcement.service, group);
  }
  return groups;
}
