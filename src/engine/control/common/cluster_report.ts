/** Reports on the replica set for operators. */
import type { ReplicaRole } from "../../link/common/cluster_messages.ts";
import { findLeader } from "../../consensus/common/term.ts";
import { getRole, parseSettingsId } from "./replication_state.ts";
import type { ReplicationState } from "./replication_state.ts";

/** One replica of the table. */
export interface ClusterMember {
  readonly id: string;
  /** Id of its data folder; null before its first hello. */
  readonly replicaId: string | null;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly commitIndex: number;
  readonly isSilent: boolean;
  /** Time since its last hello, or since it was added, in milliseconds. */
  readonly lastHeardMs: number;
}

/** The replica set as known to one replica. */
export interface ClusterReport {
  /** Id of the leader in the settings; null if unknown. */
  readonly leader: string | null;
  readonly members: readonly ClusterMember[];
}

/** Creates the report at `nowMs`, this replica first. */
export function createClusterReport(
  state: ReplicationState,
  nowMs: number,
): ClusterReport {
  const { consensus, cluster, peers } = state;
  const { replicaId, term, commitIndex } = consensus;
  const self: ClusterMember = {
    id: cluster.self,
    replicaId,
    role: getRole(state),
    term,
    commitIndex,
    isSilent: false,
    lastHeardMs: 0,
  };
  const others = [...peers].map(([id, peer]): ClusterMember => ({
    id,
    replicaId: peer.replicaId ?? null,
    role: peer.role,
    term: peer.term,
    commitIndex: peer.commitIndex,
    isSilent: peer.isSilent,
    lastHeardMs: nowMs - peer.lastReceivedAtMs,
  }));
  const leaderId = findLeader(consensus);
  const leader = leaderId === undefined ? null : parseSettingsId(leaderId);
  return { leader, members: [self, ...others] };
}
