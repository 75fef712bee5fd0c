/** Log compaction: replaces the head of the log by a snapshot. */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { findConfigurationAt } from "./configuration.ts";
import type { ConsensusState, ConsensusStep } from "./consensus_types.ts";
import { writeSnapshot } from "./persistence.ts";
import { lookupTerm, selectEntries, truncateHead } from "./replicated_log.ts";

/** The state machine, encoded after it applied the entry `lastIndex`. */
export interface EncodedState {
  readonly lastIndex: number;
  readonly payload: Uint8Array;
}

/**
 * Stores a snapshot and drops the log before it, except for the trailing
 * entries. Ignores a snapshot that is stale or not yet committed.
 */
export function acceptSnapshot(
  state: ConsensusState,
  encoded: EncodedState,
): ConsensusStep {
  const { lastIndex, payload } = encoded;
  const lastTerm = lookupTerm(state.log, lastIndex);
  const isNewer = lastIndex > (state.snapshot?.lastIndex ?? 0) &&
    lastIndex <= state.commitIndex;
  if (!isNewer || lastTerm === undefined) {
    return createReduction(state);
  }
  const configuration = findConfigurationAt(state, lastIndex);
  const snapshot = { lastIndex, lastTerm, configuration, payload };
  const base = findTrailingBase(state, lastIndex);
  return chainReduction(
    writeSnapshot(state, snapshot, false),
    (s) => createReduction({ ...s, log: truncateHead(s.log, base) }),
  );
}

/** Returns the index before the first entry that is retained for slow replicas. */
function findTrailingBase(
  { log, options }: ConsensusState,
  lastIndex: number,
): number {
  const { trailingEntries, trailingBytes } = options;
  const first = Math.max(log.baseIndex, lastIndex - trailingEntries);
  const entries = selectEntries(log, first, lastIndex);
  let sizeBytes = 0;
  const dropped = entries.findLastIndex(({ payload }) => {
    sizeBytes += payload.length;
    return sizeBytes > trailingBytes;
  });
  return first + dropped + 1;
}
