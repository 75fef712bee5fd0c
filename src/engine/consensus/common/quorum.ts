/** Counts voters. */
import { isQuorum } from "./consensus_rules.ts";
import type { QuorumCount } from "./consensus_rules.ts";
import type {
  ConsensusState,
  LeaderRole,
  ReplicaProgress,
  StepContext,
} from "./consensus_types.ts";

/** Lists all replicas but this one. */
export function listPeers(state: ConsensusState): readonly string[] {
  const { voters, learners } = state.configuration;
  return [...voters, ...learners].filter((id) => id !== state.replicaId);
}

/** Lists the replicas that count, this one included where it does. */
export function listCounted(
  context: StepContext,
  state: ConsensusState,
): readonly string[] {
  const { configuration } = state;
  return [...configuration.voters, ...configuration.learners]
    .filter((id) => context.rules.isCounted(configuration, id));
}

/** Tells whether this replica may campaign. */
export function isVoter(state: ConsensusState): boolean {
  return state.configuration.voters.includes(state.replicaId);
}

/** Counts those of `ids` that count, against the voters. */
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

/** Tells whether `ids` hold a quorum. */
export function hasQuorum(
  context: StepContext,
  state: ConsensusState,
  ids: ReadonlySet<string>,
): boolean {
  return isQuorum(countVoters(context, state, ids));
}

/** Selects the replicas whose progress passes, and the leader itself. */
export function selectReplicas(
  state: ConsensusState,
  role: LeaderRole,
  isWanted: (progress: ReplicaProgress) => boolean,
): ReadonlySet<string> {
  const wanted = [...role.progress]
    .filter(([, progress]) => isWanted(progress))
    .map(([id]) => id);
  return new Set([state.replicaId, ...wanted]);
}
