/** Encoding of checksummed records and of the file header. */
import { crc32 } from "node:zlib";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";

/** Format version that this release writes and reads. */
export const FORMAT_VERSION = 1;
/** Size of the header at the start of every file. */
export const FILE_HEADER_BYTES = 12;
/** Size of the header before the payload of each record. */
export const RECORD_HEADER_BYTES = 12;

const FILE_MAGIC = 0x4250_4c4e;
const SECTOR_BYTES = 512;

/** The contents of a file. */
export interface ScannedFile {
  /** Payloads of the complete records, in order. */
  readonly payloads: readonly Uint8Array[];
  /** Offset at which the last complete record ends. */
  readonly endBytes: number;
  /** Size of an incomplete last write after `endBytes`; 0 if none. */
  readonly tornBytes: number;
}

/** Encodes a file header: magic number, format version, checksum of both. */
export function encodeFileHeader(version = FORMAT_VERSION): Uint8Array {
  const header = Buffer.alloc(FILE_HEADER_BYTES);
  header.writeUInt32LE(FILE_MAGIC, 0);
  header.writeUInt32LE(version, 4);
  header.writeUInt32LE(crc32(header.subarray(0, 8)), 8);
  return header;
}

/**
 * Encodes one record for its offset in a file: length, checksum of length and
 * offset, checksum of the payload, payload. The offset is part of the checksum
 * so that stray bytes at another offset are not mistaken for a record.
 */
export function encodeRecord(
  payload: Uint8Array,
  offsetBytes: number,
): Uint8Array {
  const record = Buffer.alloc(RECORD_HEADER_BYTES + payload.length);
  record.writeUInt32LE(payload.length, 0);
  record.writeUInt32LE(computeHeaderChecksum(payload.length, offsetBytes), 4);
  record.writeUInt32LE(crc32(payload), 8);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Reads a file's records. A last record that was not fully written is reported
 * as torn: it extends past the end of the file, or sectors of it were never
 * written and no record follows it. Any other invalid record is damage.
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
      computeHeaderChecksum(length, offsetBytes)
  ) {
    return inspectInvalidRecord(buffer, offsetBytes, buffer.length);
  }
  const end = start + length;
  if (end > buffer.length) {
    return "torn";
  }
  const payload = buffer.subarray(start, end);
  return crc32(payload) === buffer.readUInt32LE(offsetBytes + 8)
    ? payload
    : inspectInvalidRecord(buffer, offsetBytes, end);
}

/**
 * Classifies a record with a wrong checksum. Each record is synced before the
 * next is written, so only the last can be torn; sectors of it that were not
 * written read as zeroes.
 */
function inspectInvalidRecord(
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
    const isLongEnough = to - from >= RECORD_HEADER_BYTES;
    if (isLongEnough && buffer.subarray(from, to).every((byte) => byte === 0)) {
      return true;
    }
    from = to;
  }
  return false;
}

function hasRecordAfter(buffer: Buffer, startBytes: number): boolean {
  const last = buffer.length - RECORD_HEADER_BYTES;
  for (
    let candidateBytes = startBytes + 1;
    candidateBytes <= last;
    candidateBytes++
  ) {
    const length = buffer.readUInt32LE(candidateBytes);
    const isPlausible =
      candidateBytes + RECORD_HEADER_BYTES + length <= buffer.length;
    if (
      isPlausible &&
      buffer.readUInt32LE(candidateBytes + 4) ===
        computeHeaderChecksum(length, candidateBytes)
    ) {
      return true;
    }
  }
  return false;
}

function computeHeaderChecksum(
  lengthBytes: number,
  offsetBytes: number,
): number {
  const input = Buffer.alloc(12);
  input.writeUInt32LE(lengthBytes, 0);
  input.writeBigUInt64LE(BigInt(offsetBytes), 4);
  return crc32(input);
}
