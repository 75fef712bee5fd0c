/**
 * Files with a single record, replaced atomically by way of a temporary file.
 */
import { err, ok, type Result, safeTry } from "neverthrow";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/node/message_codec.ts";
import type { FileResult, Files } from "../common/files.ts";
import type { StorageError } from "../common/storage_error.ts";
import {
  encodeFileHeader,
  encodeRecord,
  FILE_HEADER_BYTES,
  readFileRecords,
} from "./record_codec.ts";

/** Suffix of the names of temporary files, which may be incomplete. */
export const TEMPORARY_SUFFIX = ".tmp";

/** A record with a type tag. */
export interface TaggedRecord {
  readonly type: string;
}

/** Encodes a file that contains only `record`. */
export function encodeRecordFile(record: TaggedRecord): Uint8Array {
  const payload = encodeMessage(record);
  return Buffer.concat([
    encodeFileHeader(),
    encodeRecord(payload, FILE_HEADER_BYTES),
  ]);
}

/**
 * Writes a temporary file, syncs it, renames it to `name`, and syncs the
 * folder.
 */
export function replaceFile(
  files: Files,
  name: string,
  bytes: Uint8Array,
): FileResult<void> {
  return safeTry(async function* () {
    const temporaryName = `${name}${TEMPORARY_SUFFIX}`;
    const file = yield* files.create(temporaryName);
    const written = await file.write(bytes, 0).andThen(() => file.sync());
    yield* file.close();
    yield* written;
    yield* files.rename(temporaryName, name);
    yield* files.syncFolder();
    return ok(undefined);
  });
}

/** Reads a file with a single record; an incomplete record is damage. */
export function readRecordFile<T extends TaggedRecord>(
  files: Files,
  name: string,
): FileResult<T> {
  return safeTry(async function* () {
    const bytes = yield* files.read(name);
    const { payloads, endBytes, tornBytes } = yield* readFileRecords(
      name,
      bytes,
    );
    if (payloads.length !== 1 || tornBytes > 0) {
      return err(createDataDamagedError(name, endBytes, "file is incomplete"));
    }
    return decodeRecord<T>(name, FILE_HEADER_BYTES, payloads[0]!);
  });
}

/** Decodes a record whose checksum has been verified. */
export function decodeRecord<T extends TaggedRecord>(
  file: string,
  offsetBytes: number,
  payload: Uint8Array,
): Result<T, StorageError> {
  const record = decodeMessage<T>(payload);
  return record === undefined
    ? err(
      createDataDamagedError(file, offsetBytes, "record cannot be decoded"),
    )
    : ok(record);
}

/** Creates the error for invalid data at `offsetBytes`. */
export function createDataDamagedError(
  file: string,
  offsetBytes: number,
  reason: string,
): StorageError {
  return { type: "DataDamaged", file, offsetBytes, reason };
}
