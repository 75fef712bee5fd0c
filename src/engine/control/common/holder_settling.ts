/** What becomes of changes of the holder sets that were proposed. */
import { deleteEntry } from "../../../base/common/maps.ts";
import type { ReplicationState } from "./replication_state.ts";

/** What was proposed is committed, or has failed: it may be proposed again. */
export function settleProposal(
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
