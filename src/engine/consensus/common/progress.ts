/** The leader's record of one replica's replication progress. */
import { setEntry } from "../../../base/common/maps.ts";
import type { ConsensusState, ReplicaProgress } from "./consensus_types.ts";

/**
 * Updates the progress of `replicaId`; no-op unless leader and peer is known.
 */
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
