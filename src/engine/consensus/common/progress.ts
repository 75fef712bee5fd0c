/** Updates what the leader knows of one replica. */
import { setEntry } from "../../../base/common/maps.ts";
import type { ConsensusState, ReplicaProgress } from "./consensus_types.ts";

/** Updates the progress of `replicaId`, where this replica leads it. */
export function updateProgress(
  state: ConsensusState,
  replicaId: string,
  change: (progress: ReplicaProgress) => ReplicaProgress,
): ConsensusState {
  const { role } = state;
  const before = role.type === "Leader"
    ? role.progress.get(replicaId)
    : undefined;
  if (role.type !== "Leader" || before === undefined) {
    return state;
  }
  const progress = setEntry(role.progress, replicaId, change(before));
  return { ...state, role: { ...role, progress } };
}
