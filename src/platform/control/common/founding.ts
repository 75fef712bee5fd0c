/** Founds the replica set: once, and only while every voter is empty. */
import { createReduction } from "../../../base/common/reduction.ts";
import { createFoundingSnapshot } from "../../consensus/common/recovery.ts";
import type { Configuration } from "../../consensus/common/log_types.ts";
import type {
  Peer,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Whether nothing was ever written: no vote, no entry, no snapshot. */
export function isEmpty({ consensus }: ReplicationState): boolean {
  return consensus.term === 0 && consensus.snapshot === undefined &&
    consensus.log.entries.length === 0 && consensus.log.baseIndex === 0;
}

/** Whether this replica knows who votes. */
export function hasConfiguration({ consensus }: ReplicationState): boolean {
  return consensus.configuration.voters.length > 0;
}

/**
 * The first voter founds the set once all others were heard and are as empty
 * as itself. A replica whose disk was wiped never does: another voter says
 * that it is not empty, or is silent.
 */
export function foundCluster(state: ReplicationState): ReplicationStep {
  const { cluster, consensus, isStoringFounding } = state;
  const { voters, self } = cluster;
  const others = voters.filter((id) => id !== self)
    .map((id) => state.peers.get(id));
  const isFounder = voters[0] === self && isEmpty(state) &&
    !isStoringFounding && others.every(isReady);
  if (!isFounder) {
    return createReduction(state);
  }
  const ids = others.map((peer) => peer!.replicaId!);
  return storeFounding(state, {
    voters: [consensus.replicaId, ...ids],
    learners: [],
  });
}

/** Takes the configuration of the replica that founds the set. */
export function acceptFounding(
  state: ReplicationState,
  configuration: Configuration,
): ReplicationStep {
  const { replicaId } = state.consensus;
  const isWanted = configuration.voters.includes(replicaId) &&
    !hasConfiguration(state) && !state.isStoringFounding;
  return isWanted
    ? storeFounding(state, configuration)
    : createReduction(state);
}

/** Begins to count, once the founding snapshot is synced. */
export function finishFounding(
  state: ReplicationState,
  configuration: Configuration,
): ReplicationState {
  const next = { ...state, isStoringFounding: false };
  if (hasConfiguration(state)) {
    return next;
  }
  const snapshot = createFoundingSnapshot(configuration, new Uint8Array());
  return {
    ...next,
    voters: configuration.voters,
    consensus: {
      ...state.consensus,
      snapshot: state.consensus.snapshot ?? snapshot,
      configuration,
      configurationIndex: 0,
    },
  };
}

/** Tells the founding voters that didn't hear of it. */
export function repeatFounding(state: ReplicationState): ReplicationStep {
  const { configuration, configurationIndex } = state.consensus;
  if (!hasConfiguration(state) || configurationIndex > 0) {
    return createReduction(state);
  }
  const unaware = [...state.peers].filter(([, { replicaId, ...peer }]) =>
    !peer.hasConfiguration && replicaId !== undefined &&
    configuration.voters.includes(replicaId)
  );
  const message = { type: "ReplicaFounding", configuration } as const;
  return createReduction(
    state,
    unaware.map(([peer]) => ({ type: "SendToPeer", peer, message })),
  );
}

function isReady(peer: Peer | undefined): boolean {
  return peer?.replicaId !== undefined && peer.isEmpty && !peer.isSilent;
}

function storeFounding(
  state: ReplicationState,
  configuration: Configuration,
): ReplicationStep {
  return createReduction({ ...state, isStoringFounding: true }, [
    { type: "StoreFounding", configuration },
  ]);
}
