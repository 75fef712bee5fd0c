/** Founds the replica set: once, and only while every voter is empty. */
import { createReduction } from "../../../base/common/reduction.ts";
import { createBootstrapSnapshot } from "../../consensus/common/recovery.ts";
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
  const configuration: Configuration = {
    voters: [consensus.replicaId, ...ids],
    learners: [],
  };
  return createReduction({ ...state, isStoringFounding: true }, [
    { type: "StoreFounding", configuration },
  ]);
}

/**
 * Begins to count, once the founding snapshot is synced. The others get it from
 * the first leader; a vote alone makes them anything but empty.
 */
export function finishFounding(
  state: ReplicationState,
  configuration: Configuration,
): ReplicationState {
  const snapshot = createBootstrapSnapshot(configuration, new Uint8Array());
  return {
    ...state,
    isStoringFounding: false,
    voters: configuration.voters,
    consensus: {
      ...state.consensus,
      snapshot,
      configuration,
      configurationIndex: 0,
    },
  };
}

function isReady(peer: Peer | undefined): boolean {
  return peer?.replicaId !== undefined && peer.isEmpty && !peer.isSilent;
}
