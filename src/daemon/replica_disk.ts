/** Writes the state of a replica to its data folder and reports completion. */
import { createBootstrapSnapshot } from "../engine/consensus/common/recovery.ts";
import type {
  ReplicationEffect,
  ReplicationEvent,
} from "../engine/control/common/replication_state.ts";
import type { StorageError } from "../engine/storage/common/storage_error.ts";
import type { DataFolder } from "../engine/storage/node/data_folder.ts";

/** An effect that writes to the disk. */
export type DiskEffect = Extract<
  ReplicationEffect,
  { type: "PersistLog" | "PersistSnapshot" | "StoreFounding" }
>;

/** Options of the disk. */
export interface ReplicaDiskOptions {
  readonly folder: DataFolder;
  readonly dispatch: (event: ReplicationEvent) => void;
  /** Called when a write failed; the replica must then answer nothing more. */
  readonly onError: (error: StorageError) => void;
}

/** Owns the open data folder. */
export class ReplicaDisk implements AsyncDisposable {
  readonly #options: ReplicaDiskOptions;
  #isClosed = false;

  constructor(options: ReplicaDiskOptions) {
    this.#options = options;
  }

  /** Writes and syncs in call order, then dispatches the completion event. */
  perform(effect: DiskEffect): void {
    if (this.#isClosed) {
      return;
    }
    const { dispatch, onError } = this.#options;
    this.#write(effect).then((written) =>
      written.match(() => dispatch(createCompletionEvent(effect)), onError)
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const { storage, lock } = this.#options.folder;
    this.#isClosed = true;
    await storage[Symbol.asyncDispose]();
    await lock?.[Symbol.asyncDispose]();
  }

  #write(effect: DiskEffect) {
    const { storage } = this.#options.folder;
    switch (effect.type) {
      case "PersistLog": {
        const { hardState, truncateFrom, entries } = effect;
        return storage.append({ hardState, truncateFrom, entries });
      }
      case "PersistSnapshot": {
        const { snapshot, discardsLog } = effect;
        return storage.saveSnapshot({ snapshot, discardsLog });
      }
      case "StoreFounding": {
        const { configuration } = effect;
        const payload = new Uint8Array();
        const snapshot = createBootstrapSnapshot(configuration, payload);
        return storage.saveSnapshot({ snapshot, discardsLog: false });
      }
    }
  }
}

function createCompletionEvent(effect: DiskEffect): ReplicationEvent {
  switch (effect.type) {
    case "PersistLog":
    case "PersistSnapshot":
      return { type: "PersistCompleted", persistId: effect.persistId };
    case "StoreFounding": {
      const { configuration } = effect;
      return { type: "FoundingStored", configuration };
    }
  }
}
