/**
 * Selects the leader's next change of the replica set: joins and replacements.
 */
import type { ConfigurationChange } from "../../consensus/common/consensus_events.ts";
import { parseSettingsId } from "./replication_state.ts";
import type { ReplicationState } from "./replication_state.ts";

/**
 * Selects the next change; changes are made one at a time. A running replica
 * whose id isn't in the set joins as a learner. Once it has caught up, the
 * voter with the same id in the settings is removed, and then the learner is
 * promoted. Until then the learner doesn't count towards any quorum.
 */
export function selectConfigurationChange(
  state: ReplicationState,
  nowMs: number,
): ConfigurationChange | undefined {
  const { configuration } = state.consensus;
  const { voters, learners } = configuration;
  const running = listRunningReplicaIds(state);
  const replaced = learners.find((id) => isReplaced(id, running));
  if (replaced !== undefined) {
    return { type: "RemoveReplica", replicaId: replaced };
  }
  const memberIds = [...voters, ...learners];
  const joining = running.find((id) => !memberIds.includes(id));
  if (joining !== undefined) {
    return { type: "AddLearner", replicaId: joining };
  }
  const ready = learners.find((id) =>
    running.includes(id) && isCaughtUp(state, id) &&
    isPromotable(state, id, nowMs)
  );
  if (ready === undefined) {
    return selectLostLearner(state, nowMs) ?? selectSpareVoter(state, nowMs);
  }
  const removed =
    voters.find((id) => parseSettingsId(id) === parseSettingsId(ready)) ??
      findReplaceableVoter(state, nowMs);
  return removed === undefined
    ? { type: "PromoteLearner", replicaId: ready }
    : { type: "RemoveReplica", replicaId: removed };
}

/**
 * Selects a lost learner to be removed, so that the leader stops sending to it.
 */
function selectLostLearner(
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

/**
 * Selects a lost voter to be removed from an even number of voters: the quorum
 * of the others is smaller, so that one more of them may be lost. Otherwise a
 * voter that was replaced while there were fewer than `maxVoters` would stay.
 */
function selectSpareVoter(
  state: ReplicationState,
  nowMs: number,
): ConfigurationChange | undefined {
  const { voters } = state.consensus.configuration;
  const lost = voters.length % 2 === 0
    ? findLostVoter(state, nowMs)
    : undefined;
  return lost === undefined
    ? undefined
    : { type: "RemoveReplica", replicaId: lost };
}

/**
 * Finds a voter that has been silent for long enough to be replaced by a
 * learner, if learners are to replace voters.
 */
function findReplaceableVoter(
  state: ReplicationState,
  nowMs: number,
): string | undefined {
  const { discovery } = state.cluster;
  const { voters } = state.consensus.configuration;
  return discovery === undefined || voters.length < discovery.maxVoters
    ? undefined
    : findLostVoter(state, nowMs);
}

/** Finds a voter that has been silent for `replaceAfterMs`. */
function findLostVoter(
  state: ReplicationState,
  nowMs: number,
): string | undefined {
  const { discovery } = state.cluster;
  const { voters } = state.consensus.configuration;
  return discovery === undefined
    ? undefined
    : voters.find((id) => isLost(state, id, discovery.replaceAfterMs, nowMs));
}

function isLost(
  state: ReplicationState,
  replicaId: string,
  afterMs: number,
  nowMs: number,
): boolean {
  const id = parseSettingsId(replicaId);
  const peer = state.peers.get(id);
  return id !== state.cluster.self &&
    (peer === undefined || nowMs - peer.lastReceivedAtMs > afterMs);
}

function listRunningReplicaIds(state: ReplicationState): readonly string[] {
  return [...state.peers.values()]
    .filter((peer) => !peer.isSilent)
    .flatMap(({ replicaId }) => replicaId ?? []);
}

function isReplaced(id: string, running: readonly string[]): boolean {
  return running.some((other) =>
    other !== id && parseSettingsId(other) === parseSettingsId(id)
  );
}

/** Whether a learner has all committed entries. */
function isCaughtUp(state: ReplicationState, replicaId: string): boolean {
  const { role, commitIndex } = state.consensus;
  const matchIndex = role.type === "Leader"
    ? role.progress.get(replicaId)?.matchIndex ?? 0
    : 0;
  return matchIndex > 0 && matchIndex >= commitIndex;
}

/**
 * Whether a learner is to vote: listed in the settings, or needed as a voter.
 */
function isPromotable(
  state: ReplicationState,
  replicaId: string,
  nowMs: number,
): boolean {
  const { discovery, voters: listedVoters } = state.cluster;
  const id = parseSettingsId(replicaId);
  if (discovery === undefined) {
    return listedVoters.includes(id);
  }
  const { voters } = state.consensus.configuration;
  return voters.length < discovery.maxVoters ||
    voters.some((voter) => parseSettingsId(voter) === id) ||
    findReplaceableVoter(state, nowMs) !== undefined;
}
