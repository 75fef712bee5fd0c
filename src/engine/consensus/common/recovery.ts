/** Restores a replica from the contents of its disk. */
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

/** What a replica is restored from. */
export interface RestoreOptions {
  /** Stored on the disk: a replica with an empty disk gets a new id. */
  readonly replicaId: string;
  readonly options: ConsensusOptions;
  readonly recovered: Recovered;
  readonly nowMs: number;
}

/**
 * The contents of an empty disk: no configuration, so the replica never votes.
 */
export const EMPTY_DISK: Recovered = {
  hardState: { term: 0, votedFor: undefined },
  snapshot: undefined,
  entries: [],
};

/**
 * Creates the snapshot that bootstraps a replica set. Each initial voter writes
 * it once, before its first start, and never onto a disk that was wiped.
 */
export function createBootstrapSnapshot(
  configuration: Configuration,
  payload: Uint8Array,
): Snapshot {
  return { lastIndex: 0, lastTerm: 0, configuration, payload };
}

/** Restores a replica, and installs its snapshot if there is one. */
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
    deferredMessages: [],
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
    requestedSnapshotIndex: 0,
    persistence,
    lastLeaderMessageAtMs: undefined,
    electionDeadlineMs: 0,
    drawnElectionTimeoutMs: 0,
    electionAttempts: 0,
    incomingSnapshot: undefined,
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
    throw new Error(
      `Log lacks entry ${baseIndex + 1}, the first after its snapshot`,
    );
  }
  return { baseIndex, baseTerm, entries };
}
