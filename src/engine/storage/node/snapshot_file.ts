/** Snapshot files: the newest is used; if it is damaged, reading fails. */
import { ok, safeTry } from "neverthrow";
import type { FileResult, Files } from "../common/files.ts";
import type { StoredSnapshot } from "../common/log_replay.ts";
import { encodeRecordFile, readRecordFile, replaceFile } from "./whole_file.ts";

const SNAPSHOT_FILE = /^snapshot-(\d{16})$/;

type SnapshotRecord = StoredSnapshot & { readonly type: "SnapshotTaken" };

/** Formats the file name of a snapshot; names sort by index. */
export function formatSnapshotName(lastIndex: number): string {
  return `snapshot-${String(lastIndex).padStart(16, "0")}`;
}

/** Lists the snapshot files among `names`, oldest first. */
export function listSnapshots(names: readonly string[]): readonly string[] {
  return names.filter((name) => SNAPSHOT_FILE.test(name)).toSorted();
}

/** Writes a snapshot; it is durable once this resolves. */
export function writeSnapshot(
  files: Files,
  stored: StoredSnapshot,
): FileResult<void> {
  const record: SnapshotRecord = { ...stored, type: "SnapshotTaken" };
  const name = formatSnapshotName(stored.snapshot.lastIndex);
  return replaceFile(files, name, encodeRecordFile(record));
}

/** Reads the newest snapshot; undefined if there is none. */
export function readNewestSnapshot(
  files: Files,
  names: readonly string[],
): FileResult<StoredSnapshot | undefined> {
  return safeTry(async function* () {
    const newest = listSnapshots(names).at(-1);
    if (newest === undefined) {
      return ok(undefined);
    }
    const record = yield* readRecordFile<SnapshotRecord>(files, newest);
    const payload = new Uint8Array(record.snapshot.payload);
    const { discardsLog } = record;
    return ok({ snapshot: { ...record.snapshot, payload }, discardsLog });
  });
}
