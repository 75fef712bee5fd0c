/** Bootstraps the replica set: once, and only while every voter is empty. */
import { createReduction } from "../../../base/common/reduction.ts";
import { createBootstrapSnapshot } from "../../consensus/common/recovery.ts";
import type { Configuration } from "../../consensus/common/log_types.ts";
import type {
  Peer,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Whether nothing was ever written to the disk: no vote, entry or snapshot. */
export function isEmpty({ consensus }: ReplicationState): boolean {
  return consensus.term === 0 && consensus.snapshot === undefined &&
    consensus.log.entries.length === 0 && consensus.log.baseIndex === 0;
}

/**
 * Bootstraps the set if this replica is the first voter, is empty, and all
 * other voters have reported that they are empty. A replica whose disk was
 * wiped never bootstraps: another voter is silent, or reports that it is not
 * empty.
 */
export function bootstrapCluster(state: ReplicationState): ReplicationStep {
  const { cluster, consensus, isStoringBootstrap } = state;
  const { voters, self } = cluster;
  const others = voters.filter((id) => id !== self)
    .map((id) => state.peers.get(id));
  const canBootstrap = voters[0] === self && isEmpty(state) &&
    !isStoringBootstrap && others.every(isEmptyAndAlive);
  if (!canBootstrap) {
    return createReduction(state);
  }
  const ids = others.map((peer) => peer!.replicaId!);
  const configuration: Configuration = {
    voters: [consensus.replicaId, ...ids],
    learners: [],
  };
  return createReduction({ ...state, isStoringBootstrap: true }, [
    { type: "StoreFounding", configuration },
  ]);
}

/**
 * Joins the set as a voter once the bootstrap snapshot is synced to disk. The
 * other voters receive it from the first leader; from their first vote on they
 * are no longer empty.
 */
export function finishBootstrap(
  state: ReplicationState,
  configuration: Configuration,
): ReplicationState {
  const snapshot = createBootstrapSnapshot(configuration, new Uint8Array());
  return {
    ...state,
    isStoringBootstrap: false,
    voters: configuration.voters,
    consensus: {
      ...state.consensus,
      snapshot,
      configuration,
      configurationIndex: 0,
    },
  };
}

function isEmptyAndAlive(peer: Peer | undefined): boolean {
  return peer?.replicaId !== undefined && peer.isEmpty && !peer.isSilent;
}
