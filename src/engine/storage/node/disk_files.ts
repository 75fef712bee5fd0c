/** File operations on a folder on disk. */
import type { FileHandle } from "node:fs/promises";
import { open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { ResultAsync } from "neverthrow";
import type { FileResult, Files, OpenFile } from "../common/files.ts";
import type { FileOperation } from "../common/storage_error.ts";

/** Stored data contains keys of callers, so only its owner may read it. */
const FILE_MODE = 0o600;

/** Creates the file operations on `folder`, which must exist. */
export function openDiskFiles(folder: string): Files {
  const resolvePath = (name: string) => join(folder, name);
  return {
    list: () => convertErrors("list", folder, readdir(folder)),
    read: (name) =>
      convertErrors("read", resolvePath(name), readFile(resolvePath(name))),
    create: (name) =>
      convertErrors(
        "create",
        resolvePath(name),
        open(resolvePath(name), "w", FILE_MODE),
      )
        .map((handle) => openDiskFile(resolvePath(name), handle)),
    open: (name) =>
      convertErrors("open", resolvePath(name), open(resolvePath(name), "r+"))
        .map((handle) => openDiskFile(resolvePath(name), handle)),
    rename: (from, to) =>
      convertErrors(
        "rename",
        resolvePath(from),
        rename(resolvePath(from), resolvePath(to)),
      ),
    remove: (name) =>
      convertErrors("remove", resolvePath(name), rm(resolvePath(name))),
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
  let writtenBytes = 0;
  while (writtenBytes < bytes.length) {
    const remaining = bytes.subarray(writtenBytes);
    const { bytesWritten } = await handle.write(
      remaining,
      0,
      remaining.length,
      positionBytes + writtenBytes,
    );
    writtenBytes += bytesWritten;
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
