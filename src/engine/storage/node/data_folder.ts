/** Opens a replica's data folder on disk and locks it. */
import { randomBytes } from "node:crypto";
import { mkdirSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";
import { openDiskFiles } from "./disk_files.ts";
import { acquireFolderLock } from "./folder_lock.ts";
import type { FolderLock } from "./folder_lock.ts";
import { openStorage } from "./storage.ts";
import type { OpenedStorage } from "./storage.ts";

const IDENTITY_SUFFIX_BYTES = 5;

/** An open data folder. Its owner disposes the storage first, then the lock. */
export interface DataFolder extends OpenedStorage {
  /** Undefined if opened without a lock file. */
  readonly lock: FolderLock | undefined;
}

/** Options for opening a data folder. */
export interface DataFolderOptions {
  /**
   * Whether a lock file excludes a second process. It identifies its process by
   * pid and start time. Where these cannot be read, the lock of a killed
   * process cannot be distinguished from one in use, so that whoever starts the
   * process must ensure that there is only one.
   */
  readonly isLocked: boolean;
}

/** Stored data contains keys of callers, so only its owner may read it. */
const FOLDER_MODE = 0o700;

/** Creates the folder if it is missing, locks it and recovers its contents. */
export async function openDataFolder(
  folder: string,
  settingsId: string,
  options: DataFolderOptions = { isLocked: true },
): Promise<Result<DataFolder, StorageError>> {
  try {
    mkdirSync(folder, { recursive: true, mode: FOLDER_MODE });
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown";
    const operation = "create";
    return err({ type: "FileFailed", operation, file: folder, code });
  }
  const lock = options.isLocked ? acquireFolderLock(folder) : ok(undefined);
  if (lock.isErr()) {
    return err(lock.error);
  }
  const opened = await openStorage({
    files: openDiskFiles(folder),
    settingsId,
    identitySuffix: randomBytes(IDENTITY_SUFFIX_BYTES).toString("hex"),
  });
  if (opened.isErr()) {
    await lock.value?.[Symbol.asyncDispose]();
    return err(opened.error);
  }
  return ok({ ...opened.value, lock: lock.value });
}
