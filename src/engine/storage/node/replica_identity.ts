/** The id of a replica, which lives and dies with its data folder. */
import { err, ok, safeTry } from "neverthrow";
import type { StorageError } from "../common/storage_error.ts";
import type { FileResult, Files } from "../common/files.ts";
import {
  encodeWholeFile,
  readWholeFile,
  writeWholeFile,
} from "./whole_file.ts";

/** Name of the file that holds the identity. */
export const IDENTITY_FILE = "identity";

interface IdentityRecord {
  readonly type: "ReplicaIdentity";
  readonly settingsId: string;
  readonly replicaId: string;
}

/** Reads the replica id; the folder of another replica is refused. */
export function readIdentity(
  files: Files,
  settingsId: string,
): FileResult<string> {
  return safeTry(async function* () {
    const found = yield* readWholeFile<IdentityRecord>(
      files,
      IDENTITY_FILE,
    );
    if (found.settingsId !== settingsId) {
      const owner = found.settingsId;
      return err<never, StorageError>({
        type: "FolderForeign",
        folder: IDENTITY_FILE,
        owner,
      });
    }
    return ok(found.replicaId);
  });
}

/**
 * Creates the id of a new data folder. `suffix` must be random: a replica that
 * lost its disk has forgotten its votes, and must not be taken for the old one.
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
    const bytes = encodeWholeFile(record);
    yield* writeWholeFile(files, IDENTITY_FILE, bytes);
    return ok(replicaId);
  });
}
