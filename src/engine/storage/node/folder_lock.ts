/** Lock file that ensures a single writer per data folder. */
import { readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";

/** Name of the lock file. */
export const LOCK_FILE = "lock";

/**
 * Identity of a process; the start distinguishes it from a later one with its
 * pid.
 */
interface ProcessIdentity {
  readonly pid: number;
  /**
   * Start in clock ticks since boot, `@`, and the boot id; empty if unknown.
   */
  readonly startedAt: string;
}

/** The lock of a data folder, held until disposed. */
export class FolderLock implements AsyncDisposable {
  readonly #file: string;

  constructor(file: string) {
    this.#file = file;
  }

  [Symbol.asyncDispose](): Promise<void> {
    rmSync(this.#file, { force: true });
    return Promise.resolve();
  }
}

/** Acquires the lock of `folder`; replaces the lock of an ended process. */
export function acquireFolderLock(
  folder: string,
): Result<FolderLock, StorageError> {
  const file = join(folder, LOCK_FILE);
  const self = readProcessIdentity(process.pid);
  if (createLock(file, self)) {
    return ok(new FolderLock(file));
  }
  const holder = readLock(file);
  if (holder !== undefined && isRunning(holder)) {
    return err({ type: "FolderLocked", folder, pid: holder.pid });
  }
  return replaceStaleLock(file, self)
    ? ok(new FolderLock(file))
    : err({ type: "FolderLocked", folder, pid: readLock(file)?.pid ?? 0 });
}

/**
 * Replaces a stale lock. It is renamed first, which succeeds in only one of
 * several processes that try at the same time.
 */
function replaceStaleLock(file: string, self: ProcessIdentity): boolean {
  const movedFile = `${file}.${self.pid}.tmp`;
  try {
    renameSync(file, movedFile);
  } catch {
    return false;
  }
  const movedIdentity = readLock(movedFile);
  if (movedIdentity !== undefined && isRunning(movedIdentity)) {
    renameSync(movedFile, file);
    return false;
  }
  rmSync(movedFile, { force: true });
  return createLock(file, self);
}

function createLock(file: string, self: ProcessIdentity): boolean {
  try {
    writeFileSync(file, JSON.stringify(self), { flag: "wx" });
    return true;
  } catch {
    return false;
  }
}

function readLock(file: string): ProcessIdentity | undefined {
  try {
    return JSON.parse(readFileSync(file, "utf8")) as ProcessIdentity;
  } catch {
    return undefined;
  }
}

function isRunning(identity: ProcessIdentity): boolean {
  try {
    process.kill(identity.pid, 0);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ESRCH") {
      return false;
    }
  }
  return readProcessIdentity(identity.pid).startedAt === identity.startedAt;
}

function readProcessIdentity(pid: number): ProcessIdentity {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const boot = readFileSync("/proc/sys/kernel/random/boot_id", "utf8").trim();
    return { pid, startedAt: `${fields[START_TIME_FIELD]}@${boot}` };
  } catch {
    return { pid, startedAt: "" };
  }
}

/** Position of the start time after the command name (proc(5), field 22). */
const START_TIME_FIELD = 19;
