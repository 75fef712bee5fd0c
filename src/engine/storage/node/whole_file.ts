/** Files of one record that are written aside, synced and renamed. */
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

/** Ends the names of files that are not yet whole. */
export const ASIDE_SUFFIX = ".tmp";

/** A tagged record. */
export interface Tagged {
  readonly type: string;
}

/** Encodes a file that holds `record` alone. */
export function encodeWholeFile(record: Tagged): Uint8Array {
  const payload = encodeMessage(record);
  return Buffer.concat([
    encodeFileHeader(),
    encodeRecord(payload, FILE_HEADER_BYTES),
  ]);
}

/** Writes `bytes` aside, syncs, renames, and syncs the folder. */
export function writeWholeFile(
  files: Files,
  name: string,
  bytes: Uint8Array,
): FileResult<void> {
  return safeTry(async function* () {
    const aside = `${name}${ASIDE_SUFFIX}`;
    const file = yield* files.create(aside);
    const written = await file.write(bytes, 0).andThen(() => file.sync());
    yield* file.close();
    yield* written;
    yield* files.rename(aside, name);
    yield* files.syncFolder();
    return ok(undefined);
  });
}

/** Reads a file of one record; anything torn or missing in it is damage. */
export function readWholeFile<T extends Tagged>(
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
      return err(createDamage(name, endBytes, "file is incomplete"));
    }
    return decodeRecord<T>(name, FILE_HEADER_BYTES, payloads[0]!);
  });
}

/** Decodes a record whose checksum holds. */
export function decodeRecord<T extends Tagged>(
  file: string,
  offsetBytes: number,
  payload: Uint8Array,
): Result<T, StorageError> {
  const record = decodeMessage<T>(payload);
  return record === undefined
    ? err(createDamage(file, offsetBytes, "record is not a known one"))
    : ok(record);
}

/** Creates the error for a place that doesn't hold. */
export function createDamage(
  file: string,
  offsetBytes: number,
  reason: string,
): StorageError {
  return { type: "DataDamaged", file, offsetBytes, reason };
}
