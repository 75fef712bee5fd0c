/** An immutable map of records in buckets, so that an update copies one bucket. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import type { ClaimRecord } from "./claim_types.ts";

/** Number of buckets; a power of two. */
export const BUCKET_COUNT = 256;

/** Records by key. */
export interface RecordMap {
  readonly buckets: readonly ReadonlyMap<string, ClaimRecord>[];
  readonly count: number;
  /** Estimated memory of all records, in bytes. */
  readonly sizeBytes: number;
}

/** Estimated size of a record without its answer. */
const RECORD_OVERHEAD_BYTES = 400;
const NO_RECORDS: ReadonlyMap<string, ClaimRecord> = new Map();

export const EMPTY_RECORDS: RecordMap = {
  buckets: Array.from({ length: BUCKET_COUNT }, () => NO_RECORDS),
  count: 0,
  sizeBytes: 0,
};

export function findRecord(
  map: RecordMap,
  key: string,
): ClaimRecord | undefined {
  return map.buckets[computeBucket(key)]!.get(key);
}

/** Inserts a record, or replaces the one with the same key. */
export function putRecord(map: RecordMap, record: ClaimRecord): RecordMap {
  const index = computeBucket(record.key);
  const old = map.buckets[index]!.get(record.key);
  const bucket = setEntry(map.buckets[index]!, record.key, record);
  return {
    buckets: map.buckets.with(index, bucket),
    count: map.count + (old === undefined ? 1 : 0),
    sizeBytes: map.sizeBytes + measureRecord(record) - measureRecord(old),
  };
}

/** Removes the record of a key. */
export function removeRecord(map: RecordMap, key: string): RecordMap {
  const index = computeBucket(key);
  const old = map.buckets[index]!.get(key);
  if (old === undefined) {
    return map;
  }
  return {
    buckets: map.buckets.with(index, deleteEntry(map.buckets[index]!, key)),
    count: map.count - 1,
    sizeBytes: map.sizeBytes - measureRecord(old),
  };
}

/** Estimates the size of a record in bytes; 0 if undefined. */
export function measureRecord(record: ClaimRecord | undefined): number {
  if (record === undefined) {
    return 0;
  }
  const answer = record.outcome?.answer;
  const headers = answer?.headers.join("").length ?? 0;
  return RECORD_OVERHEAD_BYTES + headers + (answer?.bodyBase64.length ?? 0);
}

function computeBucket(key: string): number {
  return hashText(key) % BUCKET_COUNT;
}
