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
  nowMs: number,
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
  const ready = learners.find((id) =>
    running.includes(id) && isCaughtUp(state, id) && isWanted(state, id, nowMs)
  );
  if (ready === undefined) {
    return pickLostLearner(state, nowMs);
  }
  const old = voters.find((id) => getSettingsId(id) === getSettingsId(ready)) ??
    findReplaceable(state, nowMs);
  return old === undefined
    ? { type: "PromoteLearner", replicaId: ready }
    : { type: "RemoveReplica", replicaId: old };
}

/** A learner that is gone for good would otherwise be sent to for ever. */
function pickLostLearner(
  state: ReplicationState,
  nowMs: number,
): ConfigurationChange | undefined {
  const { discovery } = state.cluster;
  const lost = discovery === undefined
    ? undefined
    : state.consensus.configuration.learners
      .find((id) => isLost(state, id, discovery.replaceAfterMs, nowMs));
  return lost === undefined
    ? undefined
    : { type: "RemoveReplica", replicaId: lost };
}

/** Finds a voter that was silent for so long that a learner replaces it. */
function findReplaceable(
  state: ReplicationState,
  nowMs: number,
): string | undefined {
  const { discovery } = state.cluster;
  const { voters } = state.consensus.configuration;
  return discovery === undefined || voters.length < discovery.maxVoters
    ? undefined
    : voters.find((id) => isLost(state, id, discovery.replaceAfterMs, nowMs));
}

function isLost(
  state: ReplicationState,
  replicaId: string,
  afterMs: number,
  nowMs: number,
): boolean {
  const id = getSettingsId(replicaId);
  const peer = state.peers.get(id);
  return id !== state.cluster.self &&
    (peer === undefined || nowMs - peer.heardAtMs > afterMs);
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

/** Whether a learner has what is committed. */
function isCaughtUp(state: ReplicationState, replicaId: string): boolean {
  const { role, commitIndex } = state.consensus;
  const matchIndex = role.type === "Leader"
    ? role.progress.get(replicaId)?.matchIndex ?? 0
    : 0;
  return matchIndex > 0 && matchIndex >= commitIndex;
}

/** Whether a learner shall vote, by the settings or for want of voters. */
function isWanted(
  state: ReplicationState,
  replicaId: string,
  nowMs: number,
): boolean {
  const { discovery, voters: listed } = state.cluster;
  const id = getSettingsId(replicaId);
  if (discovery === undefined) {
    return listed.includes(id);
  }
  const { voters } = state.consensus.configuration;
  return voters.length < discovery.maxVoters ||
    voters.some((voter) => getSettingsId(voter) === id) ||
    findReplaceable(state, nowMs) !== undefined;
}
