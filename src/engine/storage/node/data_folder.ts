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
  /** Undefined where whoever starts the process keeps others out. */
  readonly lock: FolderLock | undefined;
}

/** How a folder is opened. */
export interface DataFolderOptions {
  /**
   * Whether a lock file keeps a second process out. It names its process by
   * pid and start time; where these can't be read, the lock of a process that
   * was killed can't be told from one in use, and the starter has to see to it.
   */
  readonly isLocked: boolean;
}

/** What is stored holds keys of callers: its owner alone may read it. */
const FOLDER_MODE = 0o700;

/** Creates the folder where it is missing, locks it and recovers. */
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
  const lock = options.isLocked ? claimFolder(folder) : ok(undefined);
  if (lock.isErr()) {
    return err(lock.error);
  }
  const opened = await openStorage({
    files: openDiskFiles(folder),
    settingsId,
    identitySuffix: randomBytes(SUFFIX_BYTES).toString("hex"),
  });
  if (opened.isErr()) {
    await lock.value?.[Symbol.asyncDispose]();
    return err(opened.error);
  }
  return ok({ ...opened.value, lock: lock.value });
}
