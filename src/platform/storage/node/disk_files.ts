/** File operations on a folder of the disk. */
import type { FileHandle } from "node:fs/promises";
import { open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { ResultAsync } from "neverthrow";
import type { FileResult, Files, OpenFile } from "../common/files.ts";
import type { FileOperation } from "../common/storage_error.ts";

/** Opens the operations on `folder`, which must exist. */
export function openDiskFiles(folder: string): Files {
  const locate = (name: string) => join(folder, name);
  return {
    list: () => wrap("list", folder, readdir(folder)),
    read: (name) => wrap("read", locate(name), readFile(locate(name))),
    create: (name) =>
      wrap("create", locate(name), open(locate(name), "w"))
        .map((handle) => openDiskFile(locate(name), handle)),
    open: (name) =>
      wrap("open", locate(name), open(locate(name), "r+"))
        .map((handle) => openDiskFile(locate(name), handle)),
    rename: (from, to) =>
      wrap("rename", locate(from), rename(locate(from), locate(to))),
    remove: (name) => wrap("remove", locate(name), rm(locate(name))),
    syncFolder: () => wrap("sync", folder, syncFolder(folder)),
  };
}

function openDiskFile(file: string, handle: FileHandle): OpenFile {
  return {
    write: (bytes, positionBytes) =>
      wrap("write", file, writeAll(handle, bytes, positionBytes)),
    sync: () => wrap("sync", file, handle.sync()),
    truncate: (sizeBytes) => wrap("truncate", file, handle.truncate(sizeBytes)),
    close: () => wrap("close", file, handle.close()),
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

function wrap<T>(
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
