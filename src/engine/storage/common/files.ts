/** The file operations that storage needs, so that tests can fail each one. */
import type { ResultAsync } from "neverthrow";
import type { StorageError } from "./storage_error.ts";

/** The outcome of one file operation. */
export type FileResult<T> = ResultAsync<T, StorageError>;

/** One open file. */
export interface OpenFile {
  /** Writes all of `bytes` at `positionBytes`. */
  write(bytes: Uint8Array, positionBytes: number): FileResult<void>;
  /** Resolves once all that was written survives a power loss. */
  sync(): FileResult<void>;
  truncate(sizeBytes: number): FileResult<void>;
  close(): FileResult<void>;
}

/** The operations on one folder; files are named without it. */
export interface Files {
  list(): FileResult<readonly string[]>;
  read(name: string): FileResult<Uint8Array>;
  /** Creates a file, or empties the one that there is. */
  create(name: string): FileResult<OpenFile>;
  /** Opens a file that there is, to write on. */
  open(name: string): FileResult<OpenFile>;
  rename(from: string, to: string): FileResult<void>;
  remove(name: string): FileResult<void>;
  /** Resolves once the names in the folder survive a power loss. */
  syncFolder(): FileResult<void>;
}
