/** A persistent map of records in buckets, so that an update copies little. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import type { ClaimRecord } from "./claim_types.ts";

/** Buckets of the map; a power of two. */
export const BUCKETS = 256;

/** Records by key. */
export interface RecordMap {
  readonly buckets: readonly ReadonlyMap<string, ClaimRecord>[];
  readonly count: number;
  /** Bytes that the records take, roughly. */
  readonly sizeBytes: number;
}

const RECORD_BYTES = 400;
const NO_RECORDS: ReadonlyMap<string, ClaimRecord> = new Map();

/** No records. */
export const EMPTY_RECORDS: RecordMap = {
  buckets: Array.from({ length: BUCKETS }, () => NO_RECORDS),
  count: 0,
  sizeBytes: 0,
};

/** Finds the record of a key. */
export function findRecord(
  map: RecordMap,
  key: string,
): ClaimRecord | undefined {
  return map.buckets[choose(key)]!.get(key);
}

/** Binds the record's key to it. */
export function putRecord(map: RecordMap, record: ClaimRecord): RecordMap {
  const index = choose(record.key);
  const old = map.buckets[index]!.get(record.key);
  const bucket = setEntry(map.buckets[index]!, record.key, record);
  return {
    buckets: map.buckets.with(index, bucket),
    count: map.count + (old === undefined ? 1 : 0),
    sizeBytes: map.sizeBytes + measureRecord(record) - measureRecord(old),
  };
}

/** Forgets a key. */
export function removeRecord(map: RecordMap, key: string): RecordMap {
  const index = choose(key);
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

/** Measures a record in bytes, roughly; 0 for none. */
export function measureRecord(record: ClaimRecord | undefined): number {
  if (record === undefined) {
    return 0;
  }
  const answer = record.outcome?.answer;
  const headers = answer?.headers.join("").length ?? 0;
  return RECORD_BYTES + headers + (answer?.bodyBase64.length ?? 0);
}

function choose(key: string): number {
  return hashText(key) % BUCKETS;
}
