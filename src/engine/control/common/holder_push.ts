/** Pushes the committed holder sets to the nodes linked to this replica. */
import { createReduction } from "../../../base/common/reduction.ts";
import { createSend } from "./control_state.ts";
import type {
  ControlEffect,
  ControlState,
  ControlStep,
} from "./control_state.ts";
import type { HoldersState } from "./holders.ts";

/** Replaces the committed sets, and sends the nodes those that changed. */
export function replaceHolders(
  state: ControlState,
  holders: HoldersState,
): ControlStep {
  const next = { ...state, holders };
  const effects = [...state.links].flatMap(([linkId, { service = "" }]) =>
    holders.get(service) === state.holders.get(service)
      ? []
      : createUpdate(next, linkId)
  );
  return createReduction(next, effects);
}

/** Sends one node the sets of its service. */
export function sendHolders(state: ControlState, linkId: number): ControlStep {
  return createReduction(state, createUpdate(state, linkId));
}

function createUpdate(
  state: ControlState,
  linkId: number,
): readonly ControlEffect[] {
  const service = state.links.get(linkId)?.service ?? "";
  const holders = state.holders.get(service);
  if (holders === undefined) {
    return [];
  }
  const { active, proposed } = holders;
  const sets = { active, proposed };
  return [createSend(linkId, { type: "HolderSetUpdate", sets })];
}
