/**
 * The file operations that storage needs, as an interface for fault injection.
 */
import type { ResultAsync } from "neverthrow";
import type { StorageError } from "./storage_error.ts";

/** The outcome of one file operation. */
export type FileResult<T> = ResultAsync<T, StorageError>;

/** One open file. */
export interface OpenFile {
  /** Writes all of `bytes` at `positionBytes`. */
  write(bytes: Uint8Array, positionBytes: number): FileResult<void>;
  /** Resolves once everything written survives a power loss. */
  sync(): FileResult<void>;
  truncate(sizeBytes: number): FileResult<void>;
  close(): FileResult<void>;
}

/** Operations on one folder; file names are relative to it. */
export interface Files {
  list(): FileResult<readonly string[]>;
  read(name: string): FileResult<Uint8Array>;
  /** Creates a file, or truncates an existing one to zero length. */
  create(name: string): FileResult<OpenFile>;
  /** Opens an existing file for writing. */
  open(name: string): FileResult<OpenFile>;
  rename(from: string, to: string): FileResult<void>;
  remove(name: string): FileResult<void>;
  /** Resolves once the folder's directory entries survive a power loss. */
  syncFolder(): FileResult<void>;
}
