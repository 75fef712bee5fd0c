/** Replay of the log records of a data folder into memory. */
import { err, ok, type Result } from "neverthrow";
import type {
  HardState,
  LogEntry,
  Recovered,
  Snapshot,
} from "../../consensus/common/log_types.ts";

/** One atomic write. */
export interface LogWrite {
  /** The new hard state; undefined if unchanged. */
  readonly hardState: HardState | undefined;
  /** Entries from this index on are removed before `entries` are appended. */
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry[];
}

/** A snapshot as stored on disk. */
export interface StoredSnapshot {
  readonly snapshot: Snapshot;
  /**
   * Whether entries after the snapshot are dropped too, if the log starts
   * before it.
   */
  readonly discardsLog: boolean;
}

/** A record of a log segment. */
export type LogRecord =
  /** First record of a segment that continues the one before it. */
  | { readonly type: "SegmentContinued"; readonly nextIndex: number }
  /** First record of a segment that does not depend on earlier ones. */
  | {
    readonly type: "SegmentCompacted";
    readonly hardState: HardState;
    /** Index of the last entry that a snapshot replaced. */
    readonly baseIndex: number;
    readonly entries: readonly LogEntry[];
  }
  | ({ readonly type: "LogWritten" } & LogWrite);

/** The log after the records replayed so far. */
export interface ReplayedLog {
  readonly hardState: HardState;
  readonly baseIndex: number;
  readonly entries: readonly LogEntry[];
}

/** The log of a replica that has not written anything. */
export const EMPTY_LOG: ReplayedLog = {
  hardState: { term: 0, votedFor: undefined },
  baseIndex: 0,
  entries: [],
};

/** Applies one record; the error is the reason why it cannot follow `log`. */
export function applyRecord(
  log: ReplayedLog,
  record: LogRecord,
): Result<ReplayedLog, string> {
  switch (record.type) {
    case "SegmentContinued":
      return record.nextIndex === getNextIndex(log) ? ok(log) : err(
        `segment continues at entry ${record.nextIndex}, not where the log ends`,
      );
    case "SegmentCompacted": {
      const { hardState, baseIndex, entries } = record;
      return appendEntries({ hardState, baseIndex, entries: [] }, entries);
    }
    case "LogWritten":
      return applyWrite(log, record);
  }
}

/** Applies one write; the error is the reason why it cannot follow `log`. */
export function applyWrite(
  log: ReplayedLog,
  write: LogWrite,
): Result<ReplayedLog, string> {
  const hardState = write.hardState ?? log.hardState;
  const { truncateFrom } = write;
  if (truncateFrom !== undefined && truncateFrom <= log.baseIndex) {
    return err(
      `truncation at entry ${truncateFrom} precedes the start of the log`,
    );
  }
  const kept = truncateFrom === undefined
    ? log.entries
    : log.entries.slice(0, truncateFrom - log.baseIndex - 1);
  return appendEntries({ ...log, hardState, entries: kept }, write.entries);
}

/**
 * Drops the entries that a snapshot covers. If the log holds the snapshot's
 * last entry, the entries after it are retained unless the snapshot discards
 * them; otherwise the log conflicts with the snapshot and is dropped altogether
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

/** Joins log and snapshot; the error is the reason why entries are missing. */
export function recover(
  log: ReplayedLog,
  stored: StoredSnapshot | undefined,
): Result<Recovered, string> {
  if (log.baseIndex > (stored?.snapshot.lastIndex ?? 0)) {
    return err(
      `log starts after entry ${log.baseIndex}, with no snapshot that covers it`,
    );
  }
  const { hardState, entries } = stored === undefined
    ? log
    : compactLog(log, stored);
  return ok({ hardState, snapshot: stored?.snapshot, entries });
}

/** Returns the index of the next entry to be appended. */
export function getNextIndex(log: ReplayedLog): number {
  return log.baseIndex + log.entries.length + 1;
}

function appendEntries(
  log: ReplayedLog,
  entries: readonly LogEntry[],
): Result<ReplayedLog, string> {
  const next = getNextIndex(log);
  const mismatch = entries.findIndex((entry, at) => entry.index !== next + at);
  return mismatch < 0
    ? ok({ ...log, entries: [...log.entries, ...entries] })
    : err(
      `found entry ${entries[mismatch]!.index} where entry ${
        next + mismatch
      } is expected`,
    );
}
