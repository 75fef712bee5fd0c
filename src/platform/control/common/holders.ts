/**
 * Keeps each service's holder sets and tells its nodes. A change is a command
 * that is applied here at once; a replicated log would carry the same ones.
 */
import { setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import {
  applyHolderCommand,
  planHolders,
} from "../../claims/common/holder_set_reducer.ts";
import type {
  HolderCommand,
  ServiceHolders,
} from "../../claims/common/holder_set_reducer.ts";
import type { NodeMessage } from "../../link/common/link_messages.ts";
import { listMembers } from "../../membership/common/membership_state.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlState,
  ControlStep,
  HoldersState,
} from "./control_state.ts";

/** What operators see of one service's holders. */
export interface HolderReport {
  readonly service: string;
  readonly epoch: number;
  /** Node ids. */
  readonly members: readonly string[];
  /** Whether another set is copying, to take its place. */
  readonly isChanging: boolean;
}

/** Lists the holders of all services. */
export function listHolders(holders: HoldersState): readonly HolderReport[] {
  return [...holders.values()].map(({ active, proposed }) => ({
    service: active.service,
    epoch: active.epoch,
    members: active.members.map((member) => member.nodeId),
    isChanging: proposed !== undefined,
  }));
}

/** Applies a command to the holder sets. */
export function commitHolders(
  holders: HoldersState,
  command: HolderCommand,
): HoldersState {
  const { service } = command;
  const current = holders.get(service);
  const next = applyHolderCommand(current, command);
  return next === undefined || next === current
    ? holders
    : setEntry(holders, service, next);
}

/** A node of the proposed set has copied. */
export function acceptCopy(
  state: ControlState,
  nodeId: string | undefined,
  report: Extract<NodeMessage, { type: "ReportCopied" }>,
): ControlState {
  const member = state.membership.members.get(nodeId ?? "");
  if (member === undefined) {
    return state;
  }
  const { service, epoch } = report;
  const { incarnation } = member.announcement;
  const holders = commitHolders(state.holders, {
    type: "HolderCopied",
    service,
    epoch,
    nodeId: member.announcement.nodeId,
    incarnation,
  });
  return { ...state, holders };
}

/** Plans where members came or went, and tells nodes what changed. */
export function stepHolders(
  before: ControlState,
  state: ControlState,
  event: ControlEvent,
): ControlStep {
  const services = listAffected(before, state, event);
  let { holders } = state;
  for (const service of services) {
    const nodes = listMembers(state.membership, service);
    const members = planHolders(holders.get(service), nodes, service);
    holders = members === undefined ? holders : commitHolders(holders, {
      type: "HolderSetProposed",
      service,
      members,
    });
  }
  const next = { ...state, holders };
  const updates = services.flatMap((service) =>
    tellMoved(before, next, service)
  );
  return createReduction(next, [...updates, ...tellNew(before, next, event)]);
}

/** Services of which a node came, went or said something of itself. */
function listAffected(
  before: ControlState,
  state: ControlState,
  event: ControlEvent,
): readonly string[] {
  const old = before.membership.members;
  const now = state.membership.members;
  if (event.type === "Ticked" && old.size !== now.size) {
    const lost = [...old].filter(([nodeId]) => !now.has(nodeId));
    return [
      ...new Set(lost.map(([, member]) => member.announcement.service)),
    ];
  }
  if (event.type !== "NodeMessageReceived") {
    return [];
  }
  const { message, linkId } = event;
  switch (message.type) {
    case "Announce":
      return [message.announcement.service];
    case "ReportCopied":
      return [message.service];
    case "Leave": {
      const nodeId = before.links.get(linkId)?.nodeId ?? "";
      const service = old.get(nodeId)?.announcement.service;
      return service === undefined ? [] : [service];
    }
    default:
      return [];
  }
}

function tellMoved(
  before: ControlState,
  state: ControlState,
  service: string,
): readonly ControlEffect[] {
  const holders = state.holders.get(service);
  if (holders === undefined || holders === before.holders.get(service)) {
    return [];
  }
  return [...state.links]
    .filter(([, link]) => findService(state, link.nodeId) === service)
    .map(([linkId]) => createUpdate(linkId, holders));
}

function tellNew(
  before: ControlState,
  state: ControlState,
  event: ControlEvent,
): readonly ControlEffect[] {
  const isAnnounced = event.type === "NodeMessageReceived" &&
    event.message.type === "Announce";
  if (!isAnnounced) {
    return [];
  }
  const { linkId } = event;
  const { service } = event.message.announcement;
  const holders = state.holders.get(service);
  const isNew = before.links.get(linkId)?.nodeId === undefined;
  return isNew && holders !== undefined &&
      holders === before.holders.get(service)
    ? [createUpdate(linkId, holders)]
    : [];
}

function findService(
  state: ControlState,
  nodeId: string | undefined,
): string | undefined {
  return state.membership.members.get(nodeId ?? "")?.announcement.service;
}

function createUpdate(
  linkId: number,
  holders: ServiceHolders,
): ControlEffect {
  const { active, proposed } = holders;
  const message = {
    type: "HolderSetUpdate",
    sets: { active, proposed },
  } as const;
  return { type: "SendToLink", linkId, message };
}
