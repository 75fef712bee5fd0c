/** TLS keys and operator credentials, read from the files in the settings. */
import { err, ok, type Result } from "neverthrow";
import type { Logger } from "roarr";
import { readTlsKeys } from "../base/node/tls.ts";
import type { TlsKeys } from "../base/node/tls.ts";
import { readCredentials } from "./operator_credentials.ts";
import type { OperatorCredentials } from "./operator_credentials.ts";
import type { Settings, SettingsError } from "./settings.ts";

/** Protection of the listeners of a process. */
export interface Security {
  /** Undefined for plaintext transport. */
  readonly tls: TlsKeys | undefined;
  /** Whether callers connect to the edge listener with TLS. */
  readonly isEdgeTls: boolean;
  /** Undefined if edits need no credentials. */
  readonly credentials: OperatorCredentials | undefined;
}

/** Reads the files that the settings name; `file` is used in error messages. */
export function readSecurity(
  file: string,
  settings: Settings,
): Result<Security, SettingsError> {
  return readKeys(file, settings).andThen((tls) =>
    readOperators(file, settings).map((credentials) => ({
      tls,
      isEdgeTls: "edge_tls" in settings.security &&
        settings.security.edge_tls,
      credentials,
    }))
  );
}

/** Logs a warning for each listener protection that is not configured. */
export function reportSecurity(log: Logger, security: Security): void {
  if (security.tls === undefined) {
    log.warn(
      'Transport is plain text: security.transport is "plaintext"; anyone ' +
        "who reaches a listener can read and change what passes",
    );
  }
  if (security.credentials === undefined) {
    log.warn(
      "Anyone who reaches the operator listener may edit: the settings name " +
        "no operators.file",
    );
  }
}

function readKeys(
  file: string,
  { security }: Settings,
): Result<TlsKeys | undefined, SettingsError> {
  return security.transport === "plaintext"
    ? ok(undefined)
    : readTlsKeys(security).mapErr(({ name, reason }) =>
      createError(file, `security.${name}: ${reason}`)
    );
}

function readOperators(
  file: string,
  { operators }: Settings,
): Result<OperatorCredentials | undefined, SettingsError> {
  if (operators === undefined) {
    return ok(undefined);
  }
  const read = readCredentials(operators.file);
  return read.isErr()
    ? err(createError(file, `operators.file: ${operators.file}: ${read.error}`))
    : ok(read.value);
}

function createError(file: string, message: string): SettingsError {
  return { type: "SettingsError", message: `${file}: ${message}` };
}
