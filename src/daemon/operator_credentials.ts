/** Credentials of operators: maps bearer tokens to operator names. */
import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse as parseToml } from "smol-toml";
import * as v from "valibot";

/** SHA-256 digests of the tokens, by operator name. */
export type OperatorCredentials = ReadonlyMap<string, Uint8Array>;

const EXPECTED = 'expected lines of name = "SHA-256 of the token in hex"';
const BEARER = /^Bearer +(\S+)$/i;
const CREDENTIALS = v.record(
  v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$/)),
  v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
);

/** Reads a credentials file; an error is one line without the file name. */
export function readCredentials(
  file: string,
): Result<OperatorCredentials, string> {
  let value: unknown;
  try {
    value = parseToml(readFileSync(file, "utf8"));
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return err(code === undefined ? EXPECTED : `can't read (${code})`);
  }
  const checked = v.safeParse(CREDENTIALS, value);
  if (!checked.success) {
    const key = v.getDotPath(checked.issues[0]);
    return err(key === null ? EXPECTED : `${key}: ${EXPECTED}`);
  }
  const entries = Object.entries(checked.output);
  return entries.length === 0 ? err(EXPECTED) : ok(
    new Map(entries.map(([name, hex]) => [name, Buffer.from(hex, "hex")])),
  );
}

/**
 * Finds the operator whose token an `authorization` header carries (RFC 6750).
 * Compares with all digests in constant time, so that the time taken reveals
 * nothing about how much of a token matched.
 */
export function findOperator(
  credentials: OperatorCredentials,
  header: string | undefined,
): string | undefined {
  const token = BEARER.exec(header ?? "")?.[1];
  if (token === undefined) {
    return undefined;
  }
  const digest = createHash("sha256").update(token).digest();
  let operator: string | undefined;
  for (const [name, known] of credentials) {
    if (timingSafeEqual(digest, known)) {
      operator = name;
    }
  }
  return operator;
}
