/** Discovery of replicas that aren't listed in the settings. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ReplicaHello } from "../../link/common/cluster_messages.ts";
import { parseSettingsId, PEER_RETENTION_MS } from "./replication_state.ts";
import type {
  Peer,
  ReplicationEffect,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Creates the state of a replica from which no hello was received yet. */
export function createPeer(nowMs: number): Peer {
  return {
    replicaId: undefined,
    isEmpty: false,
    role: "joining",
    term: 0,
    commitIndex: 0,
    lastReceivedAtMs: nowMs,
    isSilent: false,
  };
}

/** Adds the sender of a hello, and the replicas that it knows, to the peers. */
export function addHelloPeers(
  state: ReplicationState,
  hello: ReplicaHello,
  nowMs: number,
): ReplicationStep {
  return addPeers(state, [hello.id, ...hello.known ?? []], nowMs);
}

/** Adds peers and opens links to them; has no effect without discovery. */
export function addPeers(
  state: ReplicationState,
  ids: readonly string[],
  nowMs: number,
): ReplicationStep {
  const { cluster } = state;
  if (cluster.discovery === undefined) {
    return createReduction(state);
  }
  const added = ids
    .filter((id) => id !== cluster.self && !state.peers.has(id));
  if (added.length === 0) {
    return createReduction(state);
  }
  const peers = new Map(state.peers);
  added.forEach((id) => peers.set(id, createPeer(nowMs)));
  return createReduction(
    { ...state, peers },
    added.map((peer): ReplicationEffect => ({ type: "LinkPeer", peer })),
  );
}

/**
 * Adds the members of the replica set, which a replica reads from its disk when
 * it starts: at that time, none of the seeds may be running.
 */
export function addMemberPeers(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { voters, learners } = state.consensus.configuration;
  return addPeers(state, [...voters, ...learners].map(parseSettingsId), nowMs);
}

/** Lists the ids of the peers that have sent a hello and are not silent. */
export function listAlivePeers(state: ReplicationState): readonly string[] {
  return [...state.peers]
    .filter(([, peer]) => !peer.isSilent && peer.replicaId !== undefined)
    .map(([id]) => id);
}

/**
 * Removes the peers that have been silent for `PEER_RETENTION_MS` and are
 * neither in the replica set nor listed in the settings.
 */
export function removeSilentPeers(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { cluster, consensus, peers } = state;
  if (cluster.discovery === undefined) {
    return createReduction(state);
  }
  const { voters, learners } = consensus.configuration;
  const members = new Set([...voters, ...learners].map(parseSettingsId));
  const removed = [...peers]
    .filter(([id, peer]) =>
      nowMs - peer.lastReceivedAtMs > PEER_RETENTION_MS && !members.has(id) &&
      !cluster.peers.includes(id)
    )
    .map(([id]) => id);
  if (removed.length === 0) {
    return createReduction(state);
  }
  const remaining = new Map(peers);
  removed.forEach((id) => remaining.delete(id));
  return createReduction(
    { ...state, peers: remaining },
    removed.map((peer): ReplicationEffect => ({ type: "UnlinkPeer", peer })),
  );
}
