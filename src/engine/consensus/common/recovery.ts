/** Starts a replica from what its disk holds. */
import { createReduction } from "../../../base/common/reduction.ts";
import { findConfiguration } from "./configuration.ts";
import type {
  ConsensusOptions,
  ConsensusState,
  ConsensusStep,
  Persistence,
  ReplicatedLog,
} from "./consensus_types.ts";
import type { Configuration, Recovered, Snapshot } from "./log_types.ts";
import { RAFT_RULES } from "./consensus_rules.ts";
import { resetElectionTimeout } from "./term.ts";

/** Which replica starts, and from what. */
export interface RestoreOptions {
  /** Belongs to the disk: a replica on an empty disk has a new one. */
  readonly replicaId: string;
  readonly options: ConsensusOptions;
  readonly recovered: Recovered;
  readonly nowMs: number;
}

/** What an empty disk holds: no configuration, so it only listens. */
export const EMPTY_DISK: Recovered = {
  hardState: { term: 0, votedFor: undefined },
  snapshot: undefined,
  entries: [],
};

/**
 * Creates the snapshot that founds a replica set. Each founding voter writes
 * it once, before its first start, and never onto a disk that was wiped.
 */
export function createFoundingSnapshot(
  configuration: Configuration,
  payload: Uint8Array,
): Snapshot {
  return { lastIndex: 0, lastTerm: 0, configuration, payload };
}

/** Restores a replica; installs the snapshot that its disk holds. */
export function restoreConsensus(restore: RestoreOptions): ConsensusStep {
  const { replicaId, options, recovered, nowMs } = restore;
  const { hardState, snapshot } = recovered;
  const log = createLog(recovered);
  const lastIndex = log.baseIndex + log.entries.length;
  const persistence: Persistence = {
    lastId: 0,
    completedId: 0,
    pending: [],
    durableIndex: lastIndex,
    held: [],
  };
  const state: ConsensusState = {
    replicaId,
    options,
    clock: { nowMs, elapsedMs: 0 },
    ...hardState,
    role: { type: "Follower", leaderId: undefined },
    log,
    snapshot,
    ...findConfiguration(log, snapshot),
    commitIndex: log.baseIndex,
    snapshotAskedIndex: 0,
    persistence,
    leaderHeardAtMs: undefined,
    electionDeadlineMs: 0,
    electionWaitMs: 0,
    electionAttempts: 0,
    incoming: undefined,
    forwardedReads: [],
  };
  const context = { nowMs: 0, rules: RAFT_RULES };
  return createReduction(
    resetElectionTimeout(context, state),
    snapshot === undefined ? [] : [{ type: "InstallSnapshot", snapshot }],
  );
}

function createLog(recovered: Recovered): ReplicatedLog {
  const baseIndex = recovered.snapshot?.lastIndex ?? 0;
  const baseTerm = recovered.snapshot?.lastTerm ?? 0;
  const entries = recovered.entries.filter(({ index }) => index > baseIndex);
  if (entries.length > 0 && entries[0]!.index !== baseIndex + 1) {
    throw new Error(`Log has no entry ${baseIndex + 1} after its snapshot`);
  }
  return { baseIndex, baseTerm, entries };
}
