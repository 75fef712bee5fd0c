/** Completion of proposed commands that nobody waits for. */
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
  return state.commandProposals.has(requestId)
    ? {
      ...state,
      commandProposals: deleteEntry(state.commandProposals, requestId),
    }
    : state;
}
