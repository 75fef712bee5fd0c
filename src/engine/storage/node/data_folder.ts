/** Opens a replica's data folder on the disk, with its lock. */
import { randomBytes } from "node:crypto";
import { mkdirSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";
import { openDiskFiles } from "./disk_files.ts";
import { claimFolder } from "./folder_lock.ts";
import type { FolderLock } from "./folder_lock.ts";
import { openStorage } from "./storage.ts";
import type { OpenedStorage } from "./storage.ts";

const SUFFIX_BYTES = 5;

/** An open data folder; dispose the storage, then the lock. */
export interface DataFolder extends OpenedStorage {
  readonly lock: FolderLock;
}

/** Creates the folder where it is missing, locks it and recovers. */
export async function openDataFolder(
  folder: string,
  settingsId: string,
): Promise<Result<DataFolder, StorageError>> {
  try {
    mkdirSync(folder, { recursive: true });
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown";
    const operation = "create";
    return err({ type: "FileFailed", operation, file: folder, code });
  }
  const lock = claimFolder(folder);
  if (lock.isErr()) {
    return err(lock.error);
  }
  const opened = await openStorage({
    files: openDiskFiles(folder),
    settingsId,
    identitySuffix: randomBytes(SUFFIX_BYTES).toString("hex"),
  });
  if (opened.isErr()) {
    await lock.value[Symbol.asyncDispose]();
    return err(opened.error);
  }
  return ok({ ...opened.value, lock: lock.value });
}
