/**
 * The id of a replica; it is created and lost together with its data folder.
 */
import { err, ok, safeTry } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";
import type { FileResult, Files } from "../common/files.ts";
import { encodeRecordFile, readRecordFile, replaceFile } from "./whole_file.ts";

/** Name of the identity file. */
export const IDENTITY_FILE = "identity";

interface IdentityRecord {
  readonly type: "ReplicaIdentity";
  readonly settingsId: string;
  readonly replicaId: string;
}

/** Reads the replica id; fails if the folder belongs to another replica. */
export function readIdentity(
  files: Files,
  settingsId: string,
): FileResult<string> {
  return safeTry(async function* () {
    const identity = yield* readRecordFile<IdentityRecord>(
      files,
      IDENTITY_FILE,
    );
    if (identity.settingsId !== settingsId) {
      const owner = identity.settingsId;
      return err<never, StorageError>({
        type: "FolderForeign",
        folder: IDENTITY_FILE,
        owner,
      });
    }
    return ok(identity.replicaId);
  });
}

/**
 * Creates the id of a new data folder. `suffix` must be random: a replica that
 * lost its disk has lost its votes too, so it must not reuse its former id.
 */
export function createIdentity(
  files: Files,
  settingsId: string,
  suffix: string,
): FileResult<string> {
  return safeTry(async function* () {
    const replicaId = `${settingsId}~${suffix}`;
    const record: IdentityRecord = {
      type: "ReplicaIdentity",
      settingsId,
      replicaId,
    };
    const bytes = encodeRecordFile(record);
    yield* replaceFile(files, IDENTITY_FILE, bytes);
    return ok(replicaId);
  });
}
