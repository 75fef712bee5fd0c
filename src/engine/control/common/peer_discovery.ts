/** How replicas learn of each other, where no settings list them. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ReplicaHello } from "../../link/common/cluster_messages.ts";
import { FORGET_PEER_MS, getSettingsId } from "./replication_state.ts";
import type {
  Peer,
  ReplicationEffect,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Creates a replica of which nothing was heard yet. */
export function createPeer(nowMs: number): Peer {
  return {
    replicaId: undefined,
    isEmpty: false,
    role: "joining",
    term: 0,
    commitIndex: 0,
    heardAtMs: nowMs,
    isSilent: false,
  };
}

/** Adds the sender of a hello, and those that it knows, to the peers. */
export function learnPeers(
  state: ReplicationState,
  hello: ReplicaHello,
  nowMs: number,
): ReplicationStep {
  return addPeers(state, [hello.id, ...hello.known ?? []], nowMs);
}

/** Adds replicas to ask, where they find each other. */
export function addPeers(
  state: ReplicationState,
  ids: readonly string[],
  nowMs: number,
): ReplicationStep {
  const { cluster } = state;
  if (cluster.discovery === undefined) {
    return createReduction(state);
  }
  const found = ids
    .filter((id) => id !== cluster.self && !state.peers.has(id));
  if (found.length === 0) {
    return createReduction(state);
  }
  const peers = new Map(state.peers);
  found.forEach((id) => peers.set(id, createPeer(nowMs)));
  return createReduction(
    { ...state, peers },
    found.map((peer): ReplicationEffect => ({ type: "LinkPeer", peer })),
  );
}

/** Lists the replicas that this one has heard lately. */
export function listHeardPeers(state: ReplicationState): readonly string[] {
  return [...state.peers]
    .filter(([, peer]) => !peer.isSilent && peer.replicaId !== undefined)
    .map(([id]) => id);
}

/** Forgets replicas that are silent for long and belong to no set. */
export function forgetPeers(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const { cluster, consensus, peers } = state;
  if (cluster.discovery === undefined) {
    return createReduction(state);
  }
  const { voters, learners } = consensus.configuration;
  const members = new Set([...voters, ...learners].map(getSettingsId));
  const gone = [...peers]
    .filter(([id, peer]) =>
      nowMs - peer.heardAtMs > FORGET_PEER_MS && !members.has(id) &&
      !cluster.peers.includes(id)
    )
    .map(([id]) => id);
  if (gone.length === 0) {
    return createReduction(state);
  }
  const kept = new Map(peers);
  gone.forEach((id) => kept.delete(id));
  return createReduction(
    { ...state, peers: kept },
    gone.map((peer): ReplicationEffect => ({ type: "UnlinkPeer", peer })),
  );
}
