/**
 * Finds the configuration in force: the newest in the log, committed or not.
 */
import type { ConsensusState, ReplicatedLog } from "./consensus_types.ts";
import { decodeEntry, isConfigurationEntry } from "./entry_payload.ts";
import type { Configuration, LogEntry, Snapshot } from "./log_types.ts";

/** A configuration and the log index of its entry. */
export interface IndexedConfiguration {
  readonly configuration: Configuration;
  readonly configurationIndex: number;
}

const NO_CONFIGURATION: Configuration = { voters: [], learners: [] };

/** Finds the newest configuration in a log or, failing that, its snapshot. */
export function findConfiguration(
  log: ReplicatedLog,
  snapshot: Snapshot | undefined,
): IndexedConfiguration {
  const entry = log.entries.findLast(isConfigurationEntry);
  const snapshotIndex = snapshot?.lastIndex ?? 0;
  if (entry !== undefined && entry.index > snapshotIndex) {
    return decodeConfiguration(entry);
  }
  return {
    configuration: snapshot?.configuration ?? NO_CONFIGURATION,
    configurationIndex: snapshotIndex,
  };
}

/** Finds the configuration that was in force at `index`. */
export function findConfigurationAt(
  state: ConsensusState,
  index: number,
): Configuration {
  const { log, snapshot } = state;
  const entries = log.entries.filter((entry) => entry.index <= index);
  return findConfiguration({ ...log, entries }, snapshot).configuration;
}

/** Updates the configuration after a change to the log from index `from` on. */
export function updateConfiguration(
  state: ConsensusState,
  from: number,
): ConsensusState {
  const { log, snapshot } = state;
  const isTruncated = state.configurationIndex >= from;
  const added = log.entries.slice(from - log.baseIndex - 1);
  return isTruncated || added.some(isConfigurationEntry)
    ? { ...state, ...findConfiguration(log, snapshot) }
    : state;
}

function decodeConfiguration(entry: LogEntry): IndexedConfiguration {
  const content = decodeEntry(entry);
  const configuration = content.type === "Configuration"
    ? content.configuration
    : NO_CONFIGURATION;
  return { configuration, configurationIndex: entry.index };
}
