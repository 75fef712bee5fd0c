/**
 * An in-memory folder that tracks what is synced, with injected faults and
 * crashes.
 */
import { errAsync, okAsync } from "neverthrow";
import type { FileResult, Files, OpenFile } from "../common/files.ts";
import type { FileOperation } from "../common/storage_error.ts";

/** What survives on disk when the machine crashes. */
export interface Crash {
  /** Whether unsynced changes of names survive. */
  readonly keepsNames: boolean;
  /** Whether unsynced bytes survive. */
  readonly keepsBytes: boolean;
}

/** All combinations of what a crash may keep. */
export const CRASHES: readonly Crash[] = [
  { keepsNames: false, keepsBytes: false },
  { keepsNames: false, keepsBytes: true },
  { keepsNames: true, keepsBytes: false },
  { keepsNames: true, keepsBytes: true },
];

interface FileNode {
  bytes: Uint8Array;
  synced: Uint8Array;
}

/**
 * Returns the error code with which an operation fails; undefined if it
 * succeeds.
 */
export type Fault = (
  operation: FileOperation,
  sequence: number,
) => string | undefined;

/** An in-memory folder. */
export class MemoryFiles implements Files {
  /** Called before each operation that changes or opens something. */
  fault: Fault = () => undefined;
  /** Number of such operations so far. */
  operationCount = 0;
  #names = new Map<string, FileNode>();
  #syncedNames = new Map<string, FileNode>();

  /** Returns the folder as found by a restarted process after a crash. */
  recover(crash: Crash): MemoryFiles {
    const next = new MemoryFiles();
    const names = crash.keepsNames ? this.#names : this.#syncedNames;
    for (const [name, node] of names) {
      next.put(name, crash.keepsBytes ? node.bytes : node.synced);
    }
    return next;
  }

  /** Gets a file's bytes. */
  get(name: string): Uint8Array {
    return this.#names.get(name)!.bytes;
  }

  /** Names of the existing files, sorted. */
  get names(): readonly string[] {
    return [...this.#names.keys()].toSorted();
  }

  /** Adds or replaces a file that is synced. */
  put(name: string, bytes: Uint8Array): void {
    const node = { bytes, synced: bytes };
    this.#names.set(name, node);
    this.#syncedNames.set(name, node);
  }

  /** Deletes a file, also from what is synced. */
  delete(name: string): void {
    this.#names.delete(name);
    this.#syncedNames.delete(name);
  }

  list(): FileResult<readonly string[]> {
    return okAsync([...this.#names.keys()]);
  }

  read(name: string): FileResult<Uint8Array> {
    const node = this.#names.get(name);
    return node === undefined
      ? fail("read", name, "ENOENT")
      : okAsync(node.bytes);
  }

  create(name: string): FileResult<OpenFile> {
    return this.#perform("create", name, () => {
      const empty = new Uint8Array();
      const node = { bytes: empty, synced: empty };
      this.#names.set(name, node);
      return this.#open(name, node);
    });
  }

  open(name: string): FileResult<OpenFile> {
    return this.#perform(
      "open",
      name,
      () => this.#open(name, this.#names.get(name)!),
    );
  }

  rename(from: string, to: string): FileResult<void> {
    return this.#perform("rename", from, () => {
      this.#names.set(to, this.#names.get(from)!);
      this.#names.delete(from);
    });
  }

  remove(name: string): FileResult<void> {
    return this.#perform("remove", name, () => {
      this.#names.delete(name);
    });
  }

  syncFolder(): FileResult<void> {
    return this.#perform("sync", ".", () => {
      this.#syncedNames = new Map(this.#names);
    });
  }

  #open(name: string, node: FileNode): OpenFile {
    const write = (bytes: Uint8Array, positionBytes: number) => {
      const size = Math.max(node.bytes.length, positionBytes + bytes.length);
      const next = new Uint8Array(size);
      next.set(node.bytes);
      next.set(bytes, positionBytes);
      node.bytes = next;
    };
    return {
      write: (bytes, positionBytes) =>
        this.#perform(
          "write",
          name,
          () => write(bytes, positionBytes),
          () => write(bytes.subarray(0, bytes.length / 2), positionBytes),
        ),
      sync: () =>
        this.#perform("sync", name, () => {
          node.synced = node.bytes;
        }),
      truncate: (sizeBytes) =>
        this.#perform("truncate", name, () => {
          node.bytes = node.bytes.slice(0, sizeBytes);
        }),
      close: () => okAsync(undefined),
    };
  }

  #perform<T>(
    operation: FileOperation,
    name: string,
    change: () => T,
    changeHalf: () => void = () => {},
  ): FileResult<T> {
    const code = this.fault(operation, this.operationCount++);
    if (code !== undefined) {
      changeHalf();
      return fail(operation, name, code);
    }
    return okAsync(change());
  }
}

function fail<T>(
  operation: FileOperation,
  file: string,
  code: string,
): FileResult<T> {
  return errAsync({ type: "FileFailed", operation, file, code });
}
