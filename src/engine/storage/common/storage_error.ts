/** What can go wrong with the data folder, and how it is told. */

/** A file operation, as an error names it. */
export type FileOperation =
  | "close"
  | "create"
  | "list"
  | "open"
  | "read"
  | "remove"
  | "rename"
  | "sync"
  | "truncate"
  | "write";

/** Why the data folder can't be used or a write can't be answered for. */
export type StorageError =
  | {
    readonly type: "FileFailed";
    readonly operation: FileOperation;
    readonly file: string;
    /** The system's code, such as `ENOSPC`. */
    readonly code: string;
  }
  /** A checksum or a sequence doesn't hold where a torn write can't be why. */
  | {
    readonly type: "DataDamaged";
    readonly file: string;
    readonly offsetBytes: number;
    readonly reason: string;
  }
  | {
    readonly type: "FormatUnknown";
    readonly file: string;
    readonly version: number;
  }
  | {
    readonly type: "FolderLocked";
    readonly folder: string;
    readonly pid: number;
  }
  | {
    readonly type: "FolderForeign";
    readonly folder: string;
    readonly owner: string;
  }
  /** An earlier failure left it open what is on the disk. */
  | { readonly type: "StorageStopped"; readonly cause: string };

/** Describes an error in one line for the operator. */
export function describeStorageError(error: StorageError): string {
  switch (error.type) {
    case "FileFailed":
      return error.code === "ENOSPC"
        ? `Disk is full: can't ${error.operation} ${error.file}`
        : `Can't ${error.operation} ${error.file}: ${error.code}`;
    case "DataDamaged":
      return `${error.file} is damaged at byte ${error.offsetBytes}: ` +
        `${error.reason}; nothing was changed. Move the data folder away to ` +
        "let this replica join anew with an empty one";
    case "FormatUnknown":
      return `${error.file} has format version ${error.version}, which this ` +
        "release does not know";
    case "FolderLocked":
      return `${error.folder} is in use by process ${error.pid}`;
    case "FolderForeign":
      return `${error.folder} belongs to replica ${error.owner}; check id ` +
        "and data_folder in the settings";
    case "StorageStopped":
      return `Storage has stopped: ${error.cause}`;
  }
}
