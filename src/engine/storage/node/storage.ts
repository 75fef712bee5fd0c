/** Storage of one replica's log, hard state, snapshots and identity. */
import {
  err,
  ok,
  okAsync,
  type Result,
  ResultAsync,
  safeTry,
} from "neverthrow";
import type { Recovered } from "../../consensus/common/log_types.ts";
import type { FileResult, Files, OpenFile } from "../common/files.ts";
import {
  applyWrite,
  compactLog,
  EMPTY_LOG,
  getNextIndex,
  recover,
} from "../common/log_replay.ts";
import type {
  LogRecord,
  LogWrite,
  ReplayedLog,
  StoredSnapshot,
} from "../common/log_replay.ts";
import { describeStorageError } from "../common/storage_error.ts";
import type { StorageError } from "../common/storage_error.ts";
import { encodeRecord } from "./record_codec.ts";
import {
  createIdentity,
  IDENTITY_FILE,
  readIdentity,
} from "./replica_identity.ts";
import {
  encodeLogRecord,
  formatSegmentName,
  getSegmentSequence,
  listSegments,
  replaySegments,
} from "./segment_file.ts";
import {
  formatSnapshotName,
  listSnapshots,
  readNewestSnapshot,
  writeSnapshot,
} from "./snapshot_file.ts";
import {
  createDataDamagedError,
  encodeRecordFile,
  replaceFile,
  TEMPORARY_SUFFIX,
} from "./whole_file.ts";

/** Default size from which on a new segment is started. */
export const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

/** Options for opening storage. */
export interface StorageOptions {
  readonly files: Files;
  /** The replica's id in its settings, without the random suffix. */
  readonly settingsId: string;
  /** Random suffix of the replica id, used if the folder is new. */
  readonly identitySuffix: string;
  readonly segmentBytes?: number;
}

/** Opened storage and the state recovered from it. */
export interface OpenedStorage {
  readonly storage: Storage;
  readonly replicaId: string;
  /** Whether the folder had no identity yet. */
  readonly isNew: boolean;
  readonly recovered: Recovered;
  /**
   * Bytes of an incomplete last write that were truncated; never acknowledged.
   */
  readonly cutBytes: number;
}

/** The segments in use; the last is open for appending. */
interface Tail {
  readonly names: readonly string[];
  readonly file: OpenFile;
  readonly sizeBytes: number;
}

/**
 * Opens storage: initializes an empty folder, otherwise recovers its contents.
 */
export function openStorage(
  options: StorageOptions,
): ResultAsync<OpenedStorage, StorageError> {
  const { files, settingsId, identitySuffix } = options;
  return safeTry(async function* () {
    const existingNames = yield* files.list();
    for (
      const name of existingNames.filter((n) => n.endsWith(TEMPORARY_SUFFIX))
    ) {
      yield* files.remove(name);
    }
    const isNew = !existingNames.includes(IDENTITY_FILE);
    if (isNew) {
      yield* createFirstSegment(files, existingNames);
    }
    const replicaId = isNew
      ? yield* createIdentity(files, settingsId, identitySuffix)
      : yield* readIdentity(files, settingsId);
    const names = yield* files.list();
    const stored = yield* readNewestSnapshot(files, names);
    const replayed = yield* replaySegments(files, names);
    const recovered = yield* recover(replayed.log, stored)
      .mapErr((reason) =>
        createDataDamagedError(replayed.names[0]!, 0, reason)
      );
    const tail = yield* openTail(files, replayed);
    const { log } = replayed;
    const storage = new Storage({ ...options, log, tail });
    if (stored !== undefined) {
      yield* storage.compact(stored);
    }
    const { tornBytes: cutBytes } = replayed;
    return ok({ storage, replicaId, isNew, recovered, cutBytes });
  });
}

/**
 * Creates the first segment of a new folder. The identity is written after it,
 * so a folder without one has never acknowledged a write.
 */
function createFirstSegment(
  files: Files,
  existingNames: readonly string[],
): FileResult<void> {
  return safeTry(async function* () {
    const first = formatSegmentName(1);
    const otherNames = [
      ...listSegments(existingNames),
      ...listSnapshots(existingNames),
    ]
      .filter((name) => name !== first);
    if (otherNames.length > 0) {
      const reason = `identity file is missing, but the folder contains ${
        otherNames[0]
      }`;
      return err(createDataDamagedError(IDENTITY_FILE, 0, reason));
    }
    if (existingNames.includes(first)) {
      const { log } = yield* replaySegments(files, [first]);
      if (log.entries.length > 0 || log.hardState.term > 0) {
        const reason = "identity file is missing, but the log is not empty";
        return err(createDataDamagedError(IDENTITY_FILE, 0, reason));
      }
    }
    const head: LogRecord = { ...EMPTY_LOG, type: "SegmentCompacted" };
    yield* replaceFile(files, first, encodeRecordFile(head));
    return ok(undefined);
  });
}

/**
 * Opens the last segment, truncates a torn write and syncs: the bytes read may
 * have been in the page cache only when the previous process ended.
 */
function openTail(
  files: Files,
  replayed: {
    readonly names: readonly string[];
    readonly endBytes: number;
    readonly tornBytes: number;
  },
): FileResult<Tail> {
  return safeTry(async function* () {
    const { names, endBytes: sizeBytes, tornBytes } = replayed;
    const file = yield* files.open(names.at(-1)!);
    if (tornBytes > 0) {
      yield* file.truncate(sizeBytes);
    }
    yield* file.sync();
    yield* files.syncFolder();
    return ok({ names, file, sizeBytes });
  });
}

/** Options and recovered state of a storage. */
interface StorageState extends StorageOptions {
  readonly log: ReplayedLog;
  readonly tail: Tail;
}

/**
 * Storage of one replica. Performs writes one at a time, in the order of the
 * calls. After a failure that leaves the disk contents unknown, every further
 * call fails, and the process must be restarted to recover.
 */
export class Storage implements AsyncDisposable {
  readonly #files: Files;
  readonly #segmentBytes: number;
  #log: ReplayedLog;
  #tail: Tail;
  #snapshotIndex: number | undefined;
  #stopped: StorageError | undefined;
  #queue: Promise<unknown> = Promise.resolve();

  constructor(state: StorageState) {
    this.#files = state.files;
    this.#segmentBytes = state.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.#log = state.log;
    this.#tail = state.tail;
  }

  /** Appends one write; it is durable once this resolves. */
  append(write: LogWrite): ResultAsync<void, StorageError> {
    return this.#enqueue(() => this.#append(write));
  }

  /** Saves a snapshot and drops the log that it covers, atomically. */
  saveSnapshot(stored: StoredSnapshot): ResultAsync<void, StorageError> {
    return this.#enqueue(() => this.#saveSnapshot(stored));
  }

  /**
   * Completes a compaction that was interrupted after its snapshot was saved.
   */
  compact(stored: StoredSnapshot): ResultAsync<void, StorageError> {
    return this.#enqueue(() => this.#compact(stored));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#queue;
    this.#stopped ??= { type: "StorageStopped", cause: "it was closed" };
    await this.#tail.file.close();
  }

  #enqueue<T>(
    work: () => PromiseLike<Result<T, StorageError>>,
  ): ResultAsync<T, StorageError> {
    const done = this.#queue.then(() =>
      this.#stopped === undefined ? work() : err(this.#stopped)
    );
    this.#queue = done;
    return new ResultAsync(done);
  }

  #append(write: LogWrite): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const log = yield* applyWrite(this.#log, write)
        .mapErr((cause): StorageError => ({ type: "StorageStopped", cause }));
      if (this.#tail.sizeBytes >= this.#segmentBytes) {
        yield* this.#startSegment({
          type: "SegmentContinued",
          nextIndex: getNextIndex(this.#log),
        });
      }
      const { file, sizeBytes } = this.#tail;
      const payload = encodeLogRecord({ ...write, type: "LogWritten" });
      const record = encodeRecord(payload, sizeBytes);
      yield* this.#writeRecord(file, record, sizeBytes);
      this.#tail = { ...this.#tail, sizeBytes: sizeBytes + record.length };
      this.#log = log;
      return ok(undefined);
    }.bind(this));
  }

  /**
   * Writes and syncs one record. A failed write is truncated, so that a full
   * disk fails the write but does not stop storage. After a failed sync the
   * disk contents are unknown (Rebello et al., 2020), so storage stops.
   */
  #writeRecord(
    file: OpenFile,
    record: Uint8Array,
    sizeBytes: number,
  ): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const written = await file.write(record, sizeBytes);
      if (written.isErr()) {
        const undone = await file.truncate(sizeBytes)
          .andThen(() => file.sync());
        return err(undone.isOk() ? written.error : this.#stop(written.error));
      }
      yield* file.sync().mapErr((error) => this.#stop(error));
      return ok(undefined);
    }.bind(this));
  }

  #saveSnapshot(stored: StoredSnapshot): FileResult<void> {
    const { lastIndex } = stored.snapshot;
    return lastIndex <= (this.#snapshotIndex ?? -1)
      ? okAsync(undefined)
      : writeSnapshot(this.#files, stored)
        .mapErr((error) => isBeforeSync(error) ? error : this.#stop(error))
        .andThen(() => this.#compact(stored));
  }

  #compact(stored: StoredSnapshot): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const { lastIndex } = stored.snapshot;
      this.#snapshotIndex = lastIndex;
      if (lastIndex > this.#log.baseIndex) {
        const log = compactLog(this.#log, stored);
        yield* this.#startSegment({ ...log, type: "SegmentCompacted" });
        this.#log = log;
        this.#tail = { ...this.#tail, names: this.#tail.names.slice(-1) };
      }
      yield* this.#removeStaleFiles(lastIndex);
      return ok(undefined);
    }.bind(this));
  }

  /**
   * Starts a segment with `head`. Once its directory entry is synced, it is the
   * last segment on disk, so a failure stops storage: nothing may be appended
   * to the one before it.
   */
  #startSegment(head: LogRecord): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const { names, file: old } = this.#tail;
      const name = formatSegmentName(getSegmentSequence(names.at(-1)!) + 1);
      const bytes = encodeRecordFile(head);
      yield* replaceFile(this.#files, name, bytes)
        .mapErr((error) => this.#stop(error));
      const file = yield* this.#files.open(name)
        .mapErr((error) => this.#stop(error));
      const sizeBytes = bytes.length;
      this.#tail = { names: [...names, name], file, sizeBytes };
      yield* old.close();
      return ok(undefined);
    }.bind(this));
  }

  #removeStaleFiles(lastIndex: number): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const names = yield* this.#files.list();
      const newest = formatSnapshotName(lastIndex);
      const first = this.#tail.names[0]!;
      const stale = [
        ...listSegments(names).filter((name) => name < first),
        ...listSnapshots(names).filter((name) => name < newest),
      ];
      for (const name of stale) {
        yield* this.#files.remove(name);
      }
      return ok(undefined);
    }.bind(this));
  }

  #stop(error: StorageError): StorageError {
    const cause = describeStorageError(error);
    this.#stopped = { type: "StorageStopped", cause };
    return error;
  }
}

/**
 * Returns whether a file replacement failed before the first sync: the
 * temporary file is then unused, and the contents of the folder are known.
 */
function isBeforeSync(error: StorageError): boolean {
  return error.type === "FileFailed" &&
    (error.operation === "create" || error.operation === "write");
}
