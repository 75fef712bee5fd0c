/** In-memory storage, entries and snapshots for the tests of storage. */
import type { LogEntry, Snapshot } from "../../consensus/common/log_types.ts";
import type { LogWrite } from "../common/log_replay.ts";
import { describeStorageError } from "../common/storage_error.ts";
import { openStorage } from "../node/storage.ts";
import type { OpenedStorage } from "../node/storage.ts";
import type { MemoryFiles } from "./memory_files.ts";

/** Opens storage; throws if that fails. */
export async function openSuccessfully(
  files: MemoryFiles,
  segmentBytes?: number,
): Promise<OpenedStorage> {
  const opened = await open(files, segmentBytes);
  if (opened.isErr()) {
    throw new Error(describeStorageError(opened.error));
  }
  return opened.value;
}

/** Opens storage and returns the error's type, or "opened". */
export async function openFailing(files: MemoryFiles): Promise<string> {
  const opened = await open(files);
  return opened.isErr() ? opened.error.type : "opened";
}

/** Creates an entry whose payload contains its term and index. */
export function createEntry(index: number, term = 1): LogEntry {
  return { index, term, payload: Buffer.from(`${term}:${index}`.repeat(3)) };
}

/** Creates a write of entries, with any other changes in `rest`. */
export function createWrite(
  entries: readonly LogEntry[],
  rest: Partial<LogWrite> = {},
): LogWrite {
  return { hardState: undefined, truncateFrom: undefined, entries, ...rest };
}

/** Creates a snapshot. */
export function createSnapshot(lastIndex: number, lastTerm = 1): Snapshot {
  return {
    lastIndex,
    lastTerm,
    configuration: { voters: ["a", "b", "c"], learners: ["d"] },
    payload: new Uint8Array(Buffer.from(`state at ${lastIndex}`)),
  };
}

/** Lists entries as `term:index`. */
export function listEntries(entries: readonly LogEntry[]): readonly string[] {
  return entries.map(({ term, index }) => `${term}:${index}`);
}

function open(files: MemoryFiles, segmentBytes = 1_000_000) {
  return openStorage({
    files,
    settingsId: "control-a",
    identitySuffix: "0a1b",
    segmentBytes,
  });
}
