/** File operations on a folder of the disk. */
import type { FileHandle } from "node:fs/promises";
import { open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { ResultAsync } from "neverthrow";
import type { FileResult, Files, OpenFile } from "../common/files.ts";
import type { FileOperation } from "../common/storage_error.ts";

/** What is stored holds keys of callers: its owner alone may read it. */
const FILE_MODE = 0o600;

/** Opens the operations on `folder`, which must exist. */
export function openDiskFiles(folder: string): Files {
  const locate = (name: string) => join(folder, name);
  return {
    list: () => convertErrors("list", folder, readdir(folder)),
    read: (name) => convertErrors("read", locate(name), readFile(locate(name))),
    create: (name) =>
      convertErrors("create", locate(name), open(locate(name), "w", FILE_MODE))
        .map((handle) => openDiskFile(locate(name), handle)),
    open: (name) =>
      convertErrors("open", locate(name), open(locate(name), "r+"))
        .map((handle) => openDiskFile(locate(name), handle)),
    rename: (from, to) =>
      convertErrors("rename", locate(from), rename(locate(from), locate(to))),
    remove: (name) => convertErrors("remove", locate(name), rm(locate(name))),
    syncFolder: () => convertErrors("sync", folder, syncFolder(folder)),
  };
}

function openDiskFile(file: string, handle: FileHandle): OpenFile {
  return {
    write: (bytes, positionBytes) =>
      convertErrors("write", file, writeAll(handle, bytes, positionBytes)),
    sync: () => convertErrors("sync", file, handle.sync()),
    truncate: (sizeBytes) =>
      convertErrors("truncate", file, handle.truncate(sizeBytes)),
    close: () => convertErrors("close", file, handle.close()),
  };
}

async function writeAll(
  handle: FileHandle,
  bytes: Uint8Array,
  positionBytes: number,
): Promise<void> {
  let done = 0;
  while (done < bytes.length) {
    const left = bytes.subarray(done);
    const { bytesWritten } = await handle.write(
      left,
      0,
      left.length,
      positionBytes + done,
    );
    done += bytesWritten;
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

function convertErrors<T>(
  operation: FileOperation,
  file: string,
  promise: Promise<T>,
): FileResult<T> {
  return ResultAsync.fromPromise(promise, (error) => ({
    type: "FileFailed",
    operation,
    file,
    code: (error as NodeJS.ErrnoException).code ?? "unknown",
  }));
}
