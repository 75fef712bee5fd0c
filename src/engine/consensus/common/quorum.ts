/** Quorum counting. */
import { isQuorum } from "./consensus_rules.ts";
import type { QuorumCount } from "./consensus_rules.ts";
import type {
  ConsensusState,
  LeaderRole,
  ReplicaProgress,
  StepContext,
} from "./consensus_types.ts";

/** Lists all other replicas, learners included. */
export function listPeers(state: ConsensusState): readonly string[] {
  const { voters, learners } = state.configuration;
  return [...voters, ...learners].filter((id) => id !== state.replicaId);
}

/**
 * Lists the replicas that count toward a quorum, this one included if it does.
 */
export function listCounted(
  context: StepContext,
  state: ConsensusState,
): readonly string[] {
  const { configuration } = state;
  return [...configuration.voters, ...configuration.learners]
    .filter((id) => context.rules.isCounted(configuration, id));
}

/** Returns whether this replica is a voter, and so may start an election. */
export function isVoter(state: ConsensusState): boolean {
  return state.configuration.voters.includes(state.replicaId);
}

/** Counts how many of `ids` count toward a quorum, out of all voters. */
export function countVoters(
  context: StepContext,
  state: ConsensusState,
  ids: ReadonlySet<string>,
): QuorumCount {
  const counted = listCounted(context, state).filter((id) => ids.has(id));
  return {
    votersFor: counted.length,
    voters: state.configuration.voters.length,
  };
}

/** Returns whether `ids` include a quorum. */
export function hasQuorum(
  context: StepContext,
  state: ConsensusState,
  ids: ReadonlySet<string>,
): boolean {
  return isQuorum(countVoters(context, state, ids));
}

/** Selects the leader itself and the replicas whose progress matches. */
export function selectReplicas(
  state: ConsensusState,
  role: LeaderRole,
  isSelected: (progress: ReplicaProgress) => boolean,
): ReadonlySet<string> {
  const selected = [...role.progress]
    .filter(([, progress]) => isSelected(progress))
    .map(([id]) => id);
  return new Set([state.replicaId, ...selected]);
}
