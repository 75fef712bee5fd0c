/** The holder sets of all services, as the replicated log makes them. */
import { setEntry } from "../../../base/common/maps.ts";
import { applyHolderCommand } from "../../claims/common/holder_set_reducer.ts";
import type {
  HolderCommand,
  ServiceHolders,
} from "../../claims/common/holder_set_reducer.ts";

/** The holder sets by service. */
export type HoldersState = ReadonlyMap<string, ServiceHolders>;

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

/** Applies a command; one that changes nothing returns the same state. */
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
