/** The log in memory: the entries that no snapshot has replaced. */
import type { LogEnd } from "./consensus_rules.ts";
import type { ReplicatedLog } from "./consensus_types.ts";
import type { LogEntry } from "./log_types.ts";

/** Bounds of one batch. */
export interface BatchLimits {
  readonly maxEntries: number;
  /** One entry always fits. */
  readonly maxBytes: number;
}

/** Locates the last entry. */
export function locateLogEnd(log: ReplicatedLog): LogEnd {
  const last = log.entries.at(-1);
  return {
    lastIndex: log.baseIndex + log.entries.length,
    lastTerm: last?.term ?? log.baseTerm,
  };
}

/** Looks up the term at `index`; undefined outside of the log. */
export function lookupTerm(
  log: ReplicatedLog,
  index: number,
): number | undefined {
  return index === log.baseIndex
    ? log.baseTerm
    : log.entries[index - log.baseIndex - 1]?.term;
}

/** Selects the entries after `after`, up to `upTo` included. */
export function selectEntries(
  log: ReplicatedLog,
  after: number,
  upTo: number,
): readonly LogEntry[] {
  return log.entries.slice(after - log.baseIndex, upTo - log.baseIndex);
}

/** Selects the entries after `after` that fit one batch. */
export function selectBatch(
  log: ReplicatedLog,
  after: number,
  limits: BatchLimits,
): readonly LogEntry[] {
  const entries = selectEntries(log, after, after + limits.maxEntries);
  let sizeBytes = 0;
  const end = entries.findIndex((entry, position) => {
    sizeBytes += entry.payload.length;
    return position > 0 && sizeBytes > limits.maxBytes;
  });
  return end < 0 ? entries : entries.slice(0, end);
}

/** Finds the last entry of `term` at or before `limit`; undefined for none. */
export function findLastOfTerm(
  log: ReplicatedLog,
  term: number,
  limit: number,
): number | undefined {
  for (let index = limit; index >= log.baseIndex; index--) {
    const found = lookupTerm(log, index);
    if (found === term) {
      return index;
    }
    if (found !== undefined && found < term) {
      return undefined;
    }
  }
  return undefined;
}

/** Finds the first entry of the term that holds `index`. */
export function findFirstOfTerm(log: ReplicatedLog, index: number): number {
  const term = lookupTerm(log, index);
  let first = index;
  while (
    first - 1 > log.baseIndex && lookupTerm(log, first - 1) === term
  ) {
    first--;
  }
  return first;
}

/** Drops the entries from `from` on, then appends. */
export function appendToLog(
  log: ReplicatedLog,
  entries: readonly LogEntry[],
  from = locateLogEnd(log).lastIndex + 1,
): ReplicatedLog {
  const kept = log.entries.slice(0, from - log.baseIndex - 1);
  return { ...log, entries: [...kept, ...entries] };
}

/** Drops the entries up to `index`, which then is the base. */
export function truncateHead(log: ReplicatedLog, index: number): ReplicatedLog {
  const baseTerm = lookupTerm(log, index);
  if (index <= log.baseIndex || baseTerm === undefined) {
    return log;
  }
  const entries = log.entries.slice(index - log.baseIndex);
  return { baseIndex: index, baseTerm, entries };
}
