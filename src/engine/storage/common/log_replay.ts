/** What the records of the data folder add up to, in memory. */
import { err, ok, type Result } from "neverthrow";
import type {
  HardState,
  LogEntry,
  Recovered,
  Snapshot,
} from "../../consensus/common/log_types.ts";

/** One write, kept whole or not at all. */
export interface LogWrite {
  /** The new hard state; undefined where it stands. */
  readonly hardState: HardState | undefined;
  /** Drops this index and all after it before `entries` are appended. */
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry[];
}

/** A snapshot as it is kept. */
export interface StoredSnapshot {
  readonly snapshot: Snapshot;
  /** Whether the entries after it go too, if the log begins before it. */
  readonly discardsLog: boolean;
}

/** A record as it stands in a segment. */
export type LogRecord =
  /** Opens a segment that goes on from the one before it. */
  | { readonly type: "SegmentContinued"; readonly nextIndex: number }
  /** Opens a segment that needs none before it. */
  | {
    readonly type: "SegmentCompacted";
    readonly hardState: HardState;
    /** Index of the last entry that a snapshot took the place of. */
    readonly baseIndex: number;
    readonly entries: readonly LogEntry[];
  }
  | ({ readonly type: "LogWritten" } & LogWrite);

/** The log as the records so far leave it. */
export interface ReplayedLog {
  readonly hardState: HardState;
  readonly baseIndex: number;
  readonly entries: readonly LogEntry[];
}

/** The log of a replica that has never written. */
export const EMPTY_LOG: ReplayedLog = {
  hardState: { term: 0, votedFor: undefined },
  baseIndex: 0,
  entries: [],
};

/** Applies one record; the error says why it can't follow the ones before. */
export function applyRecord(
  log: ReplayedLog,
  record: LogRecord,
): Result<ReplayedLog, string> {
  switch (record.type) {
    case "SegmentContinued":
      return record.nextIndex === getNextIndex(log)
        ? ok(log)
        : err(`segment goes on at ${record.nextIndex}`);
    case "SegmentCompacted": {
      const { hardState, baseIndex, entries } = record;
      return appendEntries({ hardState, baseIndex, entries: [] }, entries);
    }
    case "LogWritten":
      return applyWrite(log, record);
  }
}

/** Applies one write to the log. */
export function applyWrite(
  log: ReplayedLog,
  write: LogWrite,
): Result<ReplayedLog, string> {
  const hardState = write.hardState ?? log.hardState;
  const { truncateFrom } = write;
  if (truncateFrom !== undefined && truncateFrom <= log.baseIndex) {
    return err(`truncation at ${truncateFrom} is before the log`);
  }
  const kept = truncateFrom === undefined
    ? log.entries
    : log.entries.slice(0, truncateFrom - log.baseIndex - 1);
  return appendEntries({ ...log, hardState, entries: kept }, write.entries);
}

/**
 * Drops what a snapshot covers. Where the log holds the snapshot's last entry,
 * what follows is kept; else the log conflicts with it and all is dropped
 * (Ongaro and Ousterhout 2014, section 7).
 */
export function compactLog(
  log: ReplayedLog,
  { snapshot, discardsLog }: StoredSnapshot,
): ReplayedLog {
  const { lastIndex, lastTerm } = snapshot;
  if (lastIndex <= log.baseIndex) {
    return log;
  }
  const last = log.entries[lastIndex - log.baseIndex - 1];
  const entries = last?.term === lastTerm && !discardsLog
    ? log.entries.slice(lastIndex - log.baseIndex)
    : [];
  return { ...log, baseIndex: lastIndex, entries };
}

/** Joins log and snapshot; the error says what is missing between them. */
export function recover(
  log: ReplayedLog,
  stored: StoredSnapshot | undefined,
): Result<Recovered, string> {
  if (log.baseIndex > (stored?.snapshot.lastIndex ?? 0)) {
    return err(`log starts after ${log.baseIndex}, with no snapshot up to it`);
  }
  const { hardState, entries } = stored === undefined
    ? log
    : compactLog(log, stored);
  return ok({ hardState, snapshot: stored?.snapshot, entries });
}

/** Gets the index that the next entry has. */
export function getNextIndex(log: ReplayedLog): number {
  return log.baseIndex + log.entries.length + 1;
}

function appendEntries(
  log: ReplayedLog,
  entries: readonly LogEntry[],
): Result<ReplayedLog, string> {
  const next = getNextIndex(log);
  const wrong = entries.findIndex((entry, at) => entry.index !== next + at);
  return wrong < 0
    ? ok({ ...log, entries: [...log.entries, ...entries] })
    : err(`entry ${entries[wrong]!.index} where ${next + wrong} is due`);
}
