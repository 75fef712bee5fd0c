/** Errors of the data folder, and their description. */

/** The file operation that an error reports. */
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

/** Why the data folder cannot be used, or a write is not durable. */
export type StorageError =
  | {
    readonly type: "FileFailed";
    readonly operation: FileOperation;
    readonly file: string;
    /** The system's error code, such as `ENOSPC`. */
    readonly code: string;
  }
  /** A checksum or sequence is wrong, and a torn write cannot explain it. */
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
    /** Id in the settings of the replica that the folder belongs to. */
    readonly owner: string;
  }
  /**
   * Storage was closed, or an earlier failure left the disk contents unknown.
   */
  | { readonly type: "StorageStopped"; readonly cause: string };

/** Describes an error for the operator, in one line. */
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
