/**
 * The holder sets of all services, as determined by the replicated log. A
 * holder is a node that stores the claims of its service's keys.
 */
import { setEntry } from "../../../base/common/maps.ts";
import { applyHolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type {
  HolderCommand,
  ServiceHolders,
} from "../../claims/common/holder_set_reducer.ts";

/** The holder sets by service. */
export type HoldersState = ReadonlyMap<string, ServiceHolders>;

/** The holders of one service, as reported to operators. */
export interface HolderReport {
  readonly service: string;
  /** Number of the active set; it increases with each set. */
  readonly epoch: number;
  /** Node ids of the active set. */
  readonly members: readonly string[];
  /** Whether a proposed set is copying the claims in order to replace it. */
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

/** Applies a command; returns the same object if it changes nothing. */
export function updateHolders(
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
