/** Which membership change the leader makes next: joins and replacements. */
import type { ConfigurationChange } from "../../consensus/common/consensus_events.ts";
import { getSettingsId } from "./replication_state.ts";
import type { ReplicationState } from "./replication_state.ts";

/**
 * Picks the next change, one at a time. A replica that runs with an id that
 * isn't in the set joins as a learner. Once it has caught up, the voter that
 * stood under the same id of the settings is removed, and then the learner is
 * promoted: until then it counts for nothing.
 */
export function pickRepair(
  state: ReplicationState,
): ConfigurationChange | undefined {
  const { configuration } = state.consensus;
  const { voters, learners } = configuration;
  const running = listRunning(state);
  const stale = learners.find((id) => isReplaced(id, running));
  if (stale !== undefined) {
    return { type: "RemoveReplica", replicaId: stale };
  }
  const known = [...voters, ...learners];
  const joining = running.find((id) => !known.includes(id));
  if (joining !== undefined) {
    return { type: "AddLearner", replicaId: joining };
  }
  const ready = learners.find((id) => running.includes(id) && isDue(state, id));
  if (ready === undefined) {
    return undefined;
  }
  const old = voters.find((id) => getSettingsId(id) === getSettingsId(ready));
  return old === undefined
    ? { type: "PromoteLearner", replicaId: ready }
    : { type: "RemoveReplica", replicaId: old };
}

function listRunning(state: ReplicationState): readonly string[] {
  return [...state.peers.values()]
    .filter((peer) => !peer.isSilent)
    .flatMap(({ replicaId }) => replicaId ?? []);
}

function isReplaced(id: string, running: readonly string[]): boolean {
  return running.some((other) =>
    other !== id && getSettingsId(other) === getSettingsId(id)
  );
}

/** Whether a learner shall vote, and has what is committed. */
function isDue(state: ReplicationState, replicaId: string): boolean {
  const { role, commitIndex } = state.consensus;
  const matchIndex = role.type === "Leader"
    ? role.progress.get(replicaId)?.matchIndex ?? 0
    : 0;
  return state.cluster.voters.includes(getSettingsId(replicaId)) &&
    matchIndex > 0 && matchIndex >= commitIndex;
}
