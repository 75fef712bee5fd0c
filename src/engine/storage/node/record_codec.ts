/** Frames of checksummed records, and the header of each file. */
import { crc32 } from "node:zlib";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";

/** Version of the format that this release writes and reads. */
export const FORMAT_VERSION = 1;
/** Bytes of the header that opens every file. */
export const FILE_HEADER_BYTES = 12;
/** Bytes before the payload of each record. */
export const RECORD_HEADER_BYTES = 12;

const FILE_MAGIC = 0x4250_4c4e;
const SECTOR_BYTES = 512;

/** What a file holds. */
export interface ScannedFile {
  /** Payloads of the whole records, in order. */
  readonly payloads: readonly Uint8Array[];
  /** Where the last whole record ends. */
  readonly endBytes: number;
  /** Bytes of an incomplete last write after that. */
  readonly tornBytes: number;
}

/** Encodes the header of a file: magic, format version, checksum of both. */
export function encodeFileHeader(version = FORMAT_VERSION): Uint8Array {
  const header = Buffer.alloc(FILE_HEADER_BYTES);
  header.writeUInt32LE(FILE_MAGIC, 0);
  header.writeUInt32LE(version, 4);
  header.writeUInt32LE(crc32(header.subarray(0, 8)), 8);
  return header;
}

/**
 * Encodes one record for its place in a file: length, checksum of place and
 * length, checksum of the payload. The place is in the checksum so that no
 * bytes are taken for a record where none was written.
 */
export function encodeRecord(
  payload: Uint8Array,
  offsetBytes: number,
): Uint8Array {
  const record = Buffer.alloc(RECORD_HEADER_BYTES + payload.length);
  record.writeUInt32LE(payload.length, 0);
  record.writeUInt32LE(computeHeaderSum(payload.length, offsetBytes), 4);
  record.writeUInt32LE(crc32(payload), 8);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Reads a file's records. One that was not written to its end is reported as
 * torn: it reaches past the end of the file, or sectors of it were never
 * written and nothing follows it. Anything else that doesn't hold is damage.
 */
export function readFileRecords(
  file: string,
  bytes: Uint8Array,
): Result<ScannedFile, StorageError> {
  const header = checkFileHeader(file, bytes);
  if (header.isErr()) {
    return err(header.error);
  }
  const payloads: Uint8Array[] = [];
  let offsetBytes = FILE_HEADER_BYTES;
  while (offsetBytes < bytes.length) {
    const record = readRecord(bytes, offsetBytes);
    if (record === "torn") {
      const tornBytes = bytes.length - offsetBytes;
      return ok({ payloads, endBytes: offsetBytes, tornBytes });
    }
    if (record === "damaged") {
      const reason = "checksum does not match";
      return err({ type: "DataDamaged", file, offsetBytes, reason });
    }
    payloads.push(record);
    offsetBytes += RECORD_HEADER_BYTES + record.length;
  }
  return ok({ payloads, endBytes: offsetBytes, tornBytes: 0 });
}

function checkFileHeader(
  file: string,
  bytes: Uint8Array,
): Result<void, StorageError> {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const isWhole = buffer.length >= FILE_HEADER_BYTES &&
    buffer.readUInt32LE(0) === FILE_MAGIC &&
    buffer.readUInt32LE(8) === crc32(buffer.subarray(0, 8));
  if (!isWhole) {
    const reason = "file header does not match";
    return err({ type: "DataDamaged", file, offsetBytes: 0, reason });
  }
  const version = buffer.readUInt32LE(4);
  return version === FORMAT_VERSION
    ? ok(undefined)
    : err({ type: "FormatUnknown", file, version });
}

function readRecord(
  bytes: Uint8Array,
  offsetBytes: number,
): Uint8Array | "torn" | "damaged" {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const start = offsetBytes + RECORD_HEADER_BYTES;
  if (start > buffer.length) {
    return "torn";
  }
  const length = buffer.readUInt32LE(offsetBytes);
  if (
    buffer.readUInt32LE(offsetBytes + 4) !==
      computeHeaderSum(length, offsetBytes)
  ) {
    return judgeBadRecord(buffer, offsetBytes, buffer.length);
  }
  const end = start + length;
  if (end > buffer.length) {
    return "torn";
  }
  const payload = buffer.subarray(start, end);
  return crc32(payload) === buffer.readUInt32LE(offsetBytes + 8)
    ? payload
    : judgeBadRecord(buffer, offsetBytes, end);
}

/**
 * Each record is synced before the next is written, so only the last can be
 * torn; a file system shows what it did not write of it as zeroes.
 */
function judgeBadRecord(
  buffer: Buffer,
  startBytes: number,
  endBytes: number,
): "torn" | "damaged" {
  const isTorn = endBytes === buffer.length &&
    hasUnwrittenSector(buffer, startBytes) &&
    !hasRecordAfter(buffer, startBytes);
  return isTorn ? "torn" : "damaged";
}

function hasUnwrittenSector(buffer: Buffer, startBytes: number): boolean {
  let from = startBytes;
  while (from < buffer.length) {
    const nextSector = (Math.floor(from / SECTOR_BYTES) + 1) * SECTOR_BYTES;
    const to = Math.min(nextSector, buffer.length);
    const isWide = to - from >= RECORD_HEADER_BYTES;
    if (isWide && buffer.subarray(from, to).every((byte) => byte === 0)) {
      return true;
    }
    from = to;
  }
  return false;
}

function hasRecordAfter(buffer: Buffer, startBytes: number): boolean {
  const last = buffer.length - RECORD_HEADER_BYTES;
  for (let at = startBytes + 1; at <= last; at++) {
    const length = buffer.readUInt32LE(at);
    const isPlausible = at + RECORD_HEADER_BYTES + length <= buffer.length;
    if (
      isPlausible &&
      buffer.readUInt32LE(at + 4) === computeHeaderSum(length, at)
    ) {
      return true;
    }
  }
  return false;
}

function computeHeaderSum(lengthBytes: number, offsetBytes: number): number {
  const place = Buffer.alloc(12);
  place.writeUInt32LE(lengthBytes, 0);
  place.writeBigUInt64LE(BigInt(offsetBytes), 4);
  return crc32(place);
}
