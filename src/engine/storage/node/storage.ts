/** One replica's data folder: log, hard state, snapshots and identity. */
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
  ASIDE_SUFFIX,
  createDamage,
  encodeWholeFile,
  writeWholeFile,
} from "./whole_file.ts";

/** Size at which a segment is followed by the next. */
export const SEGMENT_BYTES = 4 * 1024 * 1024;

/** What storage is opened with. */
export interface StorageOptions {
  readonly files: Files;
  /** The replica's id in its settings. */
  readonly settingsId: string;
  /** Random text that tells this folder's identity from any other's. */
  readonly identitySuffix: string;
  readonly segmentBytes?: number;
}

/** What opening found. */
export interface OpenedStorage {
  readonly storage: Storage;
  readonly replicaId: string;
  /** Whether the folder was empty. */
  readonly isNew: boolean;
  readonly recovered: Recovered;
  /** Bytes of an incomplete last write that were cut off; none answered for. */
  readonly cutBytes: number;
}

interface Tail {
  readonly names: readonly string[];
  readonly file: OpenFile;
  readonly sizeBytes: number;
}

/** Opens the data folder, creates it where it is empty, and recovers. */
export function openStorage(
  options: StorageOptions,
): ResultAsync<OpenedStorage, StorageError> {
  const { files, settingsId, identitySuffix } = options;
  return safeTry(async function* () {
    const found = yield* files.list();
    for (const name of found.filter((n) => n.endsWith(ASIDE_SUFFIX))) {
      yield* files.remove(name);
    }
    const isNew = !found.includes(IDENTITY_FILE);
    if (isNew) {
      yield* createFirstSegment(files, found);
    }
    const replicaId = isNew
      ? yield* createIdentity(files, settingsId, identitySuffix)
      : yield* readIdentity(files, settingsId);
    const names = yield* files.list();
    const stored = yield* readNewestSnapshot(files, names);
    const replayed = yield* replaySegments(files, names);
    const recovered = yield* recover(replayed.log, stored)
      .mapErr((reason) => createDamage(replayed.names[0]!, 0, reason));
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

/** The identity is written last: without it, nothing was ever answered for. */
function createFirstSegment(
  files: Files,
  found: readonly string[],
): FileResult<void> {
  return safeTry(async function* () {
    const first = formatSegmentName(1);
    const others = [...listSegments(found), ...listSnapshots(found)]
      .filter((name) => name !== first);
    if (others.length > 0) {
      const reason = `it is missing, but there is ${others[0]}`;
      return err(createDamage(IDENTITY_FILE, 0, reason));
    }
    if (found.includes(first)) {
      const { log } = yield* replaySegments(files, [first]);
      if (log.entries.length > 0 || log.hardState.term > 0) {
        const reason = "it is missing, but the log is not empty";
        return err(createDamage(IDENTITY_FILE, 0, reason));
      }
    }
    const head: LogRecord = { ...EMPTY_LOG, type: "SegmentCompacted" };
    yield* writeWholeFile(files, first, encodeWholeFile(head));
    return ok(undefined);
  });
}

/**
 * Cuts a torn write off and syncs: what was read may have reached the file,
 * but not the disk, before the process ended.
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

/** What a storage is built from. */
interface StorageParts extends StorageOptions {
  readonly log: ReplayedLog;
  readonly tail: Tail;
}

/**
 * Writes in the order of the calls, one at a time. After a failure that leaves
 * open what is on the disk, every further call fails, and the process must
 * start anew to find out.
 */
export class Storage implements AsyncDisposable {
  readonly #files: Files;
  readonly #segmentBytes: number;
  #log: ReplayedLog;
  #tail: Tail;
  #snapshotIndex: number | undefined;
  #stopped: StorageError | undefined;
  #queue: Promise<unknown> = Promise.resolve();

  constructor(parts: StorageParts) {
    this.#files = parts.files;
    this.#segmentBytes = parts.segmentBytes ?? SEGMENT_BYTES;
    this.#log = parts.log;
    this.#tail = parts.tail;
  }

  /** Appends one write; it may be answered for once this resolves. */
  append(write: LogWrite): ResultAsync<void, StorageError> {
    return this.#enqueue(() => this.#append(write));
  }

  /** Keeps a snapshot and drops the log that it covers, as one step. */
  saveSnapshot(stored: StoredSnapshot): ResultAsync<void, StorageError> {
    return this.#enqueue(() => this.#saveSnapshot(stored));
  }

  /** Ends a compaction that was cut short after its snapshot was kept. */
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
   * A failed write is cut off again, so that a full disk only refuses. After a
   * failed sync nobody knows what the disk holds (Rebello et al., 2020).
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
      yield* this.#removeStale(lastIndex);
      return ok(undefined);
    }.bind(this));
  }

  /** Once a new segment's name is synced, none is written after its start. */
  #startSegment(head: LogRecord): FileResult<void> {
    return safeTry(async function* (this: Storage) {
      const { names, file: old } = this.#tail;
      const name = formatSegmentName(getSegmentSequence(names.at(-1)!) + 1);
      const bytes = encodeWholeFile(head);
      yield* writeWholeFile(this.#files, name, bytes)
        .mapErr((error) => this.#stop(error));
      const file = yield* this.#files.open(name)
        .mapErr((error) => this.#stop(error));
      const sizeBytes = bytes.length;
      this.#tail = { names: [...names, name], file, sizeBytes };
      yield* old.close();
      return ok(undefined);
    }.bind(this));
  }

  #removeStale(lastIndex: number): FileResult<void> {
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

/** Until its first sync, a file that is written aside is nobody's. */
function isBeforeSync(error: StorageError): boolean {
  return error.type === "FileFailed" &&
    (error.operation === "create" || error.operation === "write");
}
