/** Commits and applies entries (Raft, 5.3, 5.4.2). */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { CommittedCommand, ConsensusEffect } from "./consensus_events.ts";
import type {
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import { decodeEntry, isConfigurationEntry } from "./entry_payload.ts";
import type { LogEntry } from "./log_types.ts";
import { listCounted } from "./quorum.ts";
import { settleForwardedReads, settleReads } from "./read_index.ts";
import { lookupTerm, measureEntries, selectEntries } from "./replicated_log.ts";
import { startFollowing } from "./term.ts";

/**
 * Commits, as leader, the entries that a quorum of voters has synced to disk.
 */
export function advanceCommit(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  if (state.role.type !== "Leader") {
    return createReduction(state);
  }
  const index = computeQuorumIndex(context, state);
  const entryTerm = lookupTerm(state.log, index);
  const mayCommit = entryTerm !== undefined &&
    context.rules.canCommitByCount(entryTerm, state.term);
  return mayCommit ? commitUpTo(context, state, index) : createReduction(state);
}

/** Commits and applies the entries up to and including `index`. */
export function commitUpTo(
  context: StepContext,
  state: ConsensusState,
  index: number,
): ConsensusStep {
  if (index <= state.commitIndex) {
    return createReduction(state);
  }
  const entries = selectEntries(state.log, state.commitIndex, index);
  const applied = appendEffects(
    createReduction<ConsensusState, ConsensusEffect>(
      { ...state, commitIndex: index },
      [createApplyEffect(entries, index)],
    ),
    ...listConfigurationEffects(entries),
  );
  const settled = chainReduction(
    chainReduction(applied, settleProposals),
    (s) => settleReads(context, s),
  );
  return chainReduction(
    chainReduction(
      chainReduction(settled, settleForwardedReads),
      requestSnapshot,
    ),
    (s) => stepDownIfRemoved(context, s),
  );
}

function computeQuorumIndex(
  context: StepContext,
  state: ConsensusState,
): number {
  const { role, replicaId, persistence } = state;
  if (role.type !== "Leader") {
    return 0;
  }
  const matches = listCounted(context, state)
    .map((id) =>
      id === replicaId
        ? persistence.durableIndex
        : role.progress.get(id)?.matchIndex ?? 0
    )
    .sort((a, b) => b - a);
  return matches[Math.floor(state.configuration.voters.length / 2)] ?? 0;
}

function createApplyEffect(
  entries: readonly LogEntry[],
  lastIndex: number,
): ConsensusEffect {
  const commands = entries.flatMap((entry): readonly CommittedCommand[] => {
    const content = decodeEntry(entry);
    const { index, term } = entry;
    return content.type === "Command"
      ? [{ index, term, payload: content.payload }]
      : [];
  });
  return { type: "ApplyEntries", lastIndex, commands };
}

function listConfigurationEffects(
  entries: readonly LogEntry[],
): readonly ConsensusEffect[] {
  const configurationEntries = entries.filter(isConfigurationEntry);
  return configurationEntries.flatMap((entry): readonly ConsensusEffect[] => {
    const content = decodeEntry(entry);
    return content.type === "Configuration"
      ? [{
        type: "ConfigurationChanged",
        index: entry.index,
        configuration: content.configuration,
      }]
      : [];
  });
}

function settleProposals(state: ConsensusState): ConsensusStep {
  const { role, commitIndex } = state;
  if (role.type !== "Leader") {
    return createReduction(state);
  }
  const done = role.proposals.filter((p) => p.index <= commitIndex);
  if (done.length === 0) {
    return createReduction(state);
  }
  const proposals = role.proposals.filter((p) => p.index > commitIndex);
  return createReduction<ConsensusState, ConsensusEffect>(
    { ...state, role: { ...role, proposals } },
    done.map(({ requestId, index }) => ({
      type: "ProposalCommitted",
      requestId,
      index,
    })),
  );
}

function requestSnapshot(state: ConsensusState): ConsensusStep {
  const {
    commitIndex,
    snapshot,
    requestedSnapshotIndex,
    options,
  } = state;
  const lastSnapshotIndex = Math.max(
    snapshot?.lastIndex ?? 0,
    requestedSnapshotIndex,
  );
  const entryCount = commitIndex - lastSnapshotIndex;
  const isDue = entryCount >= options.snapshotEveryEntries ||
    measureEntries(state.log, lastSnapshotIndex, commitIndex) >=
      options.snapshotEveryBytes;
  if (!isDue) {
    return createReduction(state);
  }
  return createReduction({ ...state, requestedSnapshotIndex: commitIndex }, [
    { type: "TakeSnapshot", lastIndex: commitIndex },
  ]);
}

function stepDownIfRemoved(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, configuration, configurationIndex, commitIndex } = state;
  const isRemoved = !configuration.voters.includes(state.replicaId);
  if (role.type !== "Leader" || !isRemoved) {
    return createReduction(state);
  }
  return configurationIndex > commitIndex
    ? createReduction(state)
    : startFollowing(context, state, { term: state.term, leaderId: undefined });
}
