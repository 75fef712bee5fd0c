/** Log segments: file names, and replay of their records. */
import { err, ok, type Result, safeTry } from "neverthrow";
import { encodeMessage } from "../../../base/node/message_codec.ts";
import type { FileResult, Files } from "../common/files.ts";
import { applyRecord, EMPTY_LOG } from "../common/log_replay.ts";
import type { LogRecord, ReplayedLog } from "../common/log_replay.ts";
import type { StorageError } from "../common/storage_error.ts";
import {
  FILE_HEADER_BYTES,
  readFileRecords,
  RECORD_HEADER_BYTES,
} from "./record_codec.ts";
import type { ScannedFile } from "./record_codec.ts";
import { createDataDamagedError, decodeRecord } from "./whole_file.ts";

const SEGMENT_FILE = /^log-(\d{10})$/;

/** The result of replaying the segments. */
export interface ReplayedSegments {
  readonly log: ReplayedLog;
  /**
   * Segments that the log consists of, oldest first; the last is appended to.
   */
  readonly names: readonly string[];
  /** Offset at which the last segment's complete records end. */
  readonly endBytes: number;
  /** Size of an incomplete last write after `endBytes`; 0 if none. */
  readonly tornBytes: number;
}

interface Segment {
  readonly name: string;
  readonly scanned: ScannedFile;
}

/** Formats the file name of a segment; names sort by sequence. */
export function formatSegmentName(sequence: number): string {
  return `log-${String(sequence).padStart(10, "0")}`;
}

/** Returns the sequence number of a segment, from its name. */
export function getSegmentSequence(name: string): number {
  return Number(SEGMENT_FILE.exec(name)![1]);
}

/** Lists the segments among `names`, oldest first. */
export function listSegments(names: readonly string[]): readonly string[] {
  return names.filter((name) => SEGMENT_FILE.test(name)).toSorted();
}

/** Encodes a log record as the payload of a file record. */
export function encodeLogRecord(record: LogRecord): Uint8Array {
  return encodeMessage(record);
}

/** Replays the segments, from the last that does not depend on earlier ones. */
export function replaySegments(
  files: Files,
  names: readonly string[],
): FileResult<ReplayedSegments> {
  return safeTry(async function* () {
    const segments: Segment[] = [];
    for (const name of listSegments(names)) {
      const bytes = yield* files.read(name);
      segments.push({ name, scanned: yield* readFileRecords(name, bytes) });
    }
    const first = yield* findFirstNeeded(segments);
    const neededSegments = segments.slice(first);
    yield* checkContinuity(neededSegments);
    let log = EMPTY_LOG;
    for (const segment of neededSegments) {
      log = yield* replaySegment(log, segment);
    }
    const { endBytes, tornBytes } = neededSegments.at(-1)!.scanned;
    return ok({
      log,
      names: neededSegments.map(({ name }) => name),
      endBytes,
      tornBytes,
    });
  });
}

function findFirstNeeded(
  segments: readonly Segment[],
): Result<number, StorageError> {
  for (let position = segments.length - 1; position >= 0; position--) {
    const { name, scanned } = segments[position]!;
    const head = scanned.payloads[0];
    if (head === undefined) {
      return err(
        createDataDamagedError(
          name,
          FILE_HEADER_BYTES,
          "segment contains no record",
        ),
      );
    }
    const record = decodeRecord<LogRecord>(name, FILE_HEADER_BYTES, head);
    if (record.isErr()) {
      return err(record.error);
    }
    if (record.value.type === "SegmentCompacted") {
      return ok(position);
    }
  }
  return err(
    createDataDamagedError(
      "log",
      0,
      "no segment that starts the log was found",
    ),
  );
}

/**
 * Checks that the segments are consecutive and all but the last are complete: a
 * segment is complete and synced before the next one is started.
 */
function checkContinuity(
  segments: readonly Segment[],
): Result<void, StorageError> {
  for (let position = 0; position + 1 < segments.length; position++) {
    const { name, scanned } = segments[position]!;
    const next = segments[position + 1]!.name;
    if (scanned.tornBytes > 0) {
      return err(
        createDataDamagedError(
          name,
          scanned.endBytes,
          "incomplete record in a segment that another follows",
        ),
      );
    }
    if (getSegmentSequence(next) !== getSegmentSequence(name) + 1) {
      return err(
        createDataDamagedError(
          next,
          0,
          `a segment between ${name} and this one is missing`,
        ),
      );
    }
  }
  return ok(undefined);
}

function replaySegment(
  before: ReplayedLog,
  { name, scanned }: Segment,
): Result<ReplayedLog, StorageError> {
  let log = before;
  let offsetBytes = FILE_HEADER_BYTES;
  for (const payload of scanned.payloads) {
    const applied = decodeRecord<LogRecord>(name, offsetBytes, payload)
      .andThen((record) =>
        applyRecord(log, copyPayloads(record))
          .mapErr((reason) => createDataDamagedError(name, offsetBytes, reason))
      );
    if (applied.isErr()) {
      return err(applied.error);
    }
    log = applied.value;
    offsetBytes += RECORD_HEADER_BYTES + payload.length;
  }
  return ok(log);
}

/**
 * Copies payloads: decoded ones are views that keep the whole segment's buffer
 * in memory.
 */
function copyPayloads(record: LogRecord): LogRecord {
  if (record.type === "SegmentContinued") {
    return record;
  }
  const entries = record.entries.map((entry) => ({
    ...entry,
    payload: new Uint8Array(entry.payload),
  }));
  return { ...record, entries };
}
