/** Log segments: names, the record that opens each, and replay of them all. */
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
import { createDamage, decodeRecord } from "./whole_file.ts";

const SEGMENT_FILE = /^log-(\d{10})$/;

/** What the segments add up to. */
export interface ReplayedSegments {
  readonly log: ReplayedLog;
  /** Segments that the log needs, oldest first; the last is written on. */
  readonly names: readonly string[];
  /** Where the last segment's whole records end. */
  readonly endBytes: number;
  /** Bytes of an incomplete last write after that. */
  readonly tornBytes: number;
}

interface Segment {
  readonly name: string;
  readonly scanned: ScannedFile;
}

/** Names a segment. */
export function formatSegmentName(sequence: number): string {
  return `log-${String(sequence).padStart(10, "0")}`;
}

/** Gets the sequence of a segment from its name. */
export function getSegmentSequence(name: string): number {
  return Number(SEGMENT_FILE.exec(name)![1]);
}

/** Lists the segments among `names`, oldest first. */
export function listSegments(names: readonly string[]): readonly string[] {
  return names.filter((name) => SEGMENT_FILE.test(name)).toSorted();
}

/** Encodes the payload of a record. */
export function encodeLogRecord(record: LogRecord): Uint8Array {
  return encodeMessage(record);
}

/** Replays the segments from the last one that needs none before it. */
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
    const first = yield* findFirst(segments);
    const needed = segments.slice(first);
    yield* checkChain(needed);
    let log = EMPTY_LOG;
    for (const segment of needed) {
      log = yield* replaySegment(log, segment);
    }
    const { endBytes, tornBytes } = needed.at(-1)!.scanned;
    return ok({
      log,
      names: needed.map(({ name }) => name),
      endBytes,
      tornBytes,
    });
  });
}

function findFirst(segments: readonly Segment[]): Result<number, StorageError> {
  for (let at = segments.length - 1; at >= 0; at--) {
    const { name, scanned } = segments[at]!;
    const head = scanned.payloads[0];
    if (head === undefined) {
      return err(createDamage(name, FILE_HEADER_BYTES, "segment is empty"));
    }
    const record = decodeRecord<LogRecord>(name, FILE_HEADER_BYTES, head);
    if (record.isErr()) {
      return err(record.error);
    }
    if (record.value.type === "SegmentCompacted") {
      return ok(at);
    }
  }
  return err(createDamage("log", 0, "the first segment is missing"));
}

/** A segment was whole and synced before the next one was begun. */
function checkChain(segments: readonly Segment[]): Result<void, StorageError> {
  for (let at = 0; at + 1 < segments.length; at++) {
    const { name, scanned } = segments[at]!;
    const next = segments[at + 1]!.name;
    if (scanned.tornBytes > 0) {
      return err(createDamage(name, scanned.endBytes, "record is incomplete"));
    }
    if (getSegmentSequence(next) !== getSegmentSequence(name) + 1) {
      return err(createDamage(next, 0, `no segment between ${name} and this`));
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
          .mapErr((reason) => createDamage(name, offsetBytes, reason))
      );
    if (applied.isErr()) {
      return err(applied.error);
    }
    log = applied.value;
    offsetBytes += RECORD_HEADER_BYTES + payload.length;
  }
  return ok(log);
}

/** Decoded bytes are views of the whole segment; copies let it go. */
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
