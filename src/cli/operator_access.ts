/** Credentials and trusted authority of the command line. */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { readAuthority } from "../base/node/tls.ts";
import { createCliError } from "./cli_error.ts";
import type { CliError } from "./cli_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Trusted authority and token for requests to operator listeners. */
export interface OperatorAccess {
  /** Certificate of the authority as PEM; undefined for plain HTTP. */
  readonly authority: string | undefined;
  /** Bearer token; undefined if the operator gave none. */
  readonly token: string | undefined;
}

/** Options that name the files to read. */
export interface AccessOptions {
  readonly authority?: string;
  readonly tokenFile?: string;
}

/** Reads the files; a token file takes precedence over `environmentToken`. */
export function readAccess(
  { authority, tokenFile }: AccessOptions,
  environmentToken: string | undefined,
): Result<OperatorAccess, CliError> {
  const authorityPem: Result<string | undefined, CliError> =
    authority === undefined
      ? ok(undefined)
      : readAuthority(authority).mapErr((reason) =>
        createCliError({
          exitCode: EXIT_CODES.usage,
          message: `--authority ${authority}: ${reason}`,
          advice: "Name the PEM file that security.authority of the settings " +
            "names",
        })
      );
  return authorityPem.andThen((pem) =>
    readToken(tokenFile, environmentToken)
      .map((token) => ({ authority: pem, token }))
  );
}

function readToken(
  file: string | undefined,
  environmentToken: string | undefined,
): Result<string | undefined, CliError> {
  if (file === undefined) {
    return ok(environmentToken);
  }
  let token = "";
  let reason = "expected one word, the token";
  try {
    token = readFileSync(file, "utf8").trim();
  } catch (error) {
    reason = `can't read (${(error as NodeJS.ErrnoException).code})`;
  }
  return /^[\x21-\x7e]+$/.test(token) ? ok(token) : err(createCliError({
    exitCode: EXIT_CODES.usage,
    message: `--token-file ${file}: ${reason}`,
    advice: "Name the file that holds your operator's token",
  }));
}
