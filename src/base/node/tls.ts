/** TLS by Node's own library: keys, and options for servers and for clients. */
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import type { RequestListener, Server, ServerOptions } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import { err, ok, type Result } from "neverthrow";
import { buildConnector } from "undici";
import type { ClientOptions } from "ws";

/** What a process presents, and whom it trusts; all in PEM. */
export interface TlsKeys {
  readonly certificate: string;
  readonly key: string;
  /** Issuer of the certificates that are taken. */
  readonly authority: string;
}

/** Names of the three files. */
export type TlsFiles = Readonly<Record<keyof TlsKeys, string>>;

/** Why a file can't be used. */
export interface TlsFault {
  readonly name: keyof TlsKeys;
  readonly reason: string;
}

/** How a client proves itself; without a key it stays unnamed. */
export type TlsTrust =
  & Pick<TlsKeys, "authority">
  & Partial<Pick<TlsKeys, "certificate" | "key">>;

/** Opens the connections of undici's clients. */
export type Connector = buildConnector.connector;

const HANDSHAKE_TIMEOUT_MS = 10_000;

/** Reads the three files and checks that each is what it should be. */
export function readTlsKeys(files: TlsFiles): Result<TlsKeys, TlsFault> {
  const found: { -readonly [Name in keyof TlsKeys]?: string } = {};
  for (const name of ["certificate", "key", "authority"] as const) {
    const text = readPem(files[name], PEM_CHECKS[name]);
    if (text.isErr()) {
      return err({ name, reason: `${files[name]}: ${text.error}` });
    }
    found[name] = text.value;
  }
  const keys = found as TlsKeys;
  const isPair = new X509Certificate(keys.certificate)
    .checkPrivateKey(createPrivateKey(keys.key));
  return isPair ? ok(keys) : err({
    name: "key",
    reason: `${files.key}: not the key of ${files.certificate}`,
  });
}

/** Reads a file with the certificate of an authority. */
export function readAuthority(file: string): Result<string, string> {
  return readPem(file, PEM_CHECKS.authority);
}

/**
 * Creates an HTTP server: plain without keys. With `isMutual` it takes only
 * clients whose certificate is of the authority.
 */
export function createServer(
  options: ServerOptions & {
    readonly tls: TlsKeys | undefined;
    readonly isMutual: boolean;
  },
  listener?: RequestListener,
): Server {
  const { tls, isMutual, ...http } = options;
  if (tls === undefined) {
    return createHttpServer(http, listener);
  }
  return createHttpsServer({
    ...http,
    cert: tls.certificate,
    key: tls.key,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    ...(isMutual
      ? { ca: tls.authority, requestCert: true, rejectUnauthorized: true }
      : {}),
  }, listener);
}

/**
 * Creates what opens undici's connections. An error that it raises is marked
 * as one of `connect`: no byte of a request was written.
 */
export function createConnector(
  tls: TlsTrust | undefined,
  timeoutMs?: number,
): Connector {
  const connect = buildConnector({
    ...(timeoutMs === undefined ? {} : { timeout: timeoutMs }),
    ...(tls === undefined ? {} : createClientOptions(tls)),
  });
  return (options, done) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        done(markConnectError(error), null);
        return;
      }
      done(null, socket);
    });
}

/** Creates the options of a WebSocket client. */
export function createSocketOptions(tls: TlsTrust | undefined): ClientOptions {
  // The type of `ws` has a boolean where Node expects an error or undefined.
  return tls === undefined
    ? {}
    : createClientOptions(tls) as unknown as ClientOptions;
}

/** Writes the origin of an address, as `http://host:port`. */
export function formatOrigin(address: string, isTls: boolean): string {
  return `${isTls ? "https" : "http"}://${address}`;
}

/**
 * The chain is verified up to the authority, and only to it. Names aren't
 * compared: processes are reached by IP addresses that change, and whoever
 * holds a key of the authority belongs to the system.
 */
function createClientOptions({ authority, certificate, key }: TlsTrust) {
  return {
    ca: authority,
    ...(certificate === undefined ? {} : { cert: certificate }),
    ...(key === undefined ? {} : { key }),
    rejectUnauthorized: true,
    checkServerIdentity: () => undefined,
  };
}

function markConnectError(error: Error): Error {
  const marked: NodeJS.ErrnoException = error;
  marked.syscall ??= "connect";
  return error;
}

const PEM_CHECKS = {
  certificate: checkCertificate,
  key: (text: string) => void createPrivateKey(text),
  authority: checkCertificate,
} as const;

function checkCertificate(text: string): void {
  new X509Certificate(text);
}

/** A file that is no PEM makes Node's parsers throw. */
function readPem(
  file: string,
  check: (text: string) => void,
): Result<string, string> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return err(`can't read (${(error as NodeJS.ErrnoException).code})`);
  }
  try {
    check(text);
  } catch {
    return err("not the PEM that is expected here");
  }
  return ok(text);
}
