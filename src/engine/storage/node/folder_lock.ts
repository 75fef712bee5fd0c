/** One writer per data folder: a lock file that names its process. */
import { readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";

/** Name of the lock file. */
export const LOCK_FILE = "lock";

/** A process, told from a later one with the same pid by its start. */
interface ProcessStamp {
  readonly pid: number;
  /** Start in clock ticks since boot, and the boot; empty if not known. */
  readonly startedAt: string;
}

/** Holds the lock of a data folder until it is disposed. */
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

/** Takes the lock of `folder`; that of a process that has ended is replaced. */
export function claimFolder(folder: string): Result<FolderLock, StorageError> {
  const file = join(folder, LOCK_FILE);
  const self = readStamp(process.pid);
  if (createLock(file, self)) {
    return ok(new FolderLock(file));
  }
  const holder = readLock(file);
  if (holder !== undefined && isRunning(holder)) {
    return err({ type: "FolderLocked", folder, pid: holder.pid });
  }
  return displaceLock(file, self)
    ? ok(new FolderLock(file))
    : err({ type: "FolderLocked", folder, pid: readLock(file)?.pid ?? 0 });
}

/** Moving the stale lock away lets only one of several starters create one. */
function displaceLock(file: string, self: ProcessStamp): boolean {
  const aside = `${file}.${self.pid}.tmp`;
  try {
    renameSync(file, aside);
  } catch {
    return false;
  }
  const moved = readLock(aside);
  if (moved !== undefined && isRunning(moved)) {
    renameSync(aside, file);
    return false;
  }
  rmSync(aside, { force: true });
  return createLock(file, self);
}

function createLock(file: string, self: ProcessStamp): boolean {
  try {
    writeFileSync(file, JSON.stringify(self), { flag: "wx" });
    return true;
  } catch {
    return false;
  }
}

function readLock(file: string): ProcessStamp | undefined {
  try {
    return JSON.parse(readFileSync(file, "utf8")) as ProcessStamp;
  } catch {
    return undefined;
  }
}

function isRunning(stamp: ProcessStamp): boolean {
  try {
    process.kill(stamp.pid, 0);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ESRCH") {
      return false;
    }
  }
  return readStamp(stamp.pid).startedAt === stamp.startedAt;
}

function readStamp(pid: number): ProcessStamp {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const boot = readFileSync("/proc/sys/kernel/random/boot_id", "utf8").trim();
    return { pid, startedAt: `${fields[START_FIELD]}@${boot}` };
  } catch {
    return { pid, startedAt: "" };
  }
}

/** Start time's place after the command name (proc(5), field 22). */
const START_FIELD = 19;
