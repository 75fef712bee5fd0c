/** Completion of proposed changes of the holder sets. */
import { deleteEntry } from "../../../base/common/maps.ts";
import type { ReplicationState } from "./replication_state.ts";

/**
 * Removes a proposal that is committed or has failed, so that it can be
 * repeated.
 */
export function removeProposal(
  state: ReplicationState,
  requestId: string,
): ReplicationState {
  return state.holderProposals.has(requestId)
    ? {
      ...state,
      holderProposals: deleteEntry(state.holderProposals, requestId),
    }
    : state;
}
