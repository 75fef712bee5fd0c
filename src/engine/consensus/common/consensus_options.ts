/** Default timeouts and limits of a replica set. */
import type { ConsensusOptions } from "./consensus_types.ts";

/**
 * Suits a few milliseconds of latency between data centres, and small writes.
 */
export const DEFAULT_CONSENSUS_OPTIONS: ConsensusOptions = {
  heartbeatMs: 100,
  readGatherMs: 50,
  electionTimeoutMs: 1_000,
  firstElectionTimeoutMs: 100,
  silentAfterMs: 3_000,
  readTimeoutMs: 2_000,
  maxBatchEntries: 256,
  maxBatchBytes: 262_144,
  maxPendingProposals: 1_024,
  maxPendingReads: 4_096,
  maxPayloadBytes: 4_194_304,
  snapshotChunkBytes: 262_144,
  snapshotEveryEntries: 1_024,
  snapshotEveryBytes: 16_777_216,
  trailingEntries: 256,
  trailingBytes: 8_388_608,
  maxInFlightEntries: 1_024,
};
