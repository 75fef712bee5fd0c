/** Operations on the in-memory log: entries not replaced by a snapshot. */
import type { LogEnd } from "./consensus_rules.ts";
import type { ReplicatedLog } from "./consensus_types.ts";
import type { LogEntry } from "./log_types.ts";

/** Limits of one batch. */
export interface BatchLimits {
  readonly maxEntries: number;
  /** Total payload size; the first entry is sent even if it exceeds this. */
  readonly maxBytes: number;
}

/** Returns index and term of the last entry. */
export function locateLogEnd(log: ReplicatedLog): LogEnd {
  const last = log.entries.at(-1);
  return {
    lastIndex: log.baseIndex + log.entries.length,
    lastTerm: last?.term ?? log.baseTerm,
  };
}

/** Returns the term at `index`; undefined outside the log. */
export function lookupTerm(
  log: ReplicatedLog,
  index: number,
): number | undefined {
  return index === log.baseIndex
    ? log.baseTerm
    : log.entries[index - log.baseIndex - 1]?.term;
}

/** Returns the entries after `after`, up to and including `upTo`. */
export function selectEntries(
  log: ReplicatedLog,
  after: number,
  upTo: number,
): readonly LogEntry[] {
  return log.entries.slice(after - log.baseIndex, upTo - log.baseIndex);
}

/** Returns the payload of the entries after `after`, up to `upTo`, in bytes. */
export function measureEntries(
  log: ReplicatedLog,
  after: number,
  upTo: number,
): number {
  return selectEntries(log, Math.max(after, log.baseIndex), upTo)
    .reduce((sum, { payload }) => sum + payload.length, 0);
}

/** Returns the entries after `after` that fit one batch. */
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

/** Finds the last entry of `term` at or before `limit`; undefined if none. */
export function findLastOfTerm(
  log: ReplicatedLog,
  term: number,
  limit: number,
): number | undefined {
  for (let index = limit; index >= log.baseIndex; index--) {
    const termAtIndex = lookupTerm(log, index);
    if (termAtIndex === term) {
      return index;
    }
    if (termAtIndex !== undefined && termAtIndex < term) {
      return undefined;
    }
  }
  return undefined;
}

/** Finds the first entry with the same term as the entry at `index`. */
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

/** Removes the entries from `from` on, then appends `entries`. */
export function appendToLog(
  log: ReplicatedLog,
  entries: readonly LogEntry[],
  from = locateLogEnd(log).lastIndex + 1,
): ReplicatedLog {
  const kept = log.entries.slice(0, from - log.baseIndex - 1);
  return { ...log, entries: [...kept, ...entries] };
}

/** Removes the entries up to and including `index`, the new base index. */
export function truncateHead(log: ReplicatedLog, index: number): ReplicatedLog {
  const baseTerm = lookupTerm(log, index);
  if (index <= log.baseIndex || baseTerm === undefined) {
    return log;
  }
  const entries = log.entries.slice(index - log.baseIndex);
  return { baseIndex: index, baseTerm, entries };
}
