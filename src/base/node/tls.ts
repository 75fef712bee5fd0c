/** TLS keys, and HTTP servers, connectors and sockets that use them. */
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import type { RequestListener, Server, ServerOptions } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import { err, ok, type Result } from "neverthrow";
import { buildConnector } from "undici";
import type { ClientOptions } from "ws";

/** Certificate and key of a process and the authority it trusts, as PEM. */
export interface TlsKeys {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the issuer whose certificates are accepted. */
  readonly authority: string;
}

/** Paths of the files that hold the keys. */
export type TlsFiles = Readonly<Record<keyof TlsKeys, string>>;

/** The file that can't be used, and the reason. */
export interface TlsFault {
  readonly name: keyof TlsKeys;
  readonly reason: string;
}

/**
 * Trusted authority of a client, and the certificate it authenticates with.
 * Without certificate and key, the client is anonymous.
 */
export type TlsTrust =
  & Pick<TlsKeys, "authority">
  & Partial<Pick<TlsKeys, "certificate" | "key">>;

/** Function that opens connections for undici clients. */
export type Connector = buildConnector.connector;

const HANDSHAKE_TIMEOUT_MS = 10_000;

/** Reads and validates the files, and checks that key and certificate match. */
export function readTlsKeys(files: TlsFiles): Result<TlsKeys, TlsFault> {
  const pems: { -readonly [Name in keyof TlsKeys]?: string } = {};
  for (const name of ["certificate", "key", "authority"] as const) {
    const text = readPem(files[name], PEM_CHECKS[name]);
    if (text.isErr()) {
      return err({ name, reason: `${files[name]}: ${text.error}` });
    }
    pems[name] = text.value;
  }
  const keys = pems as TlsKeys;
  const isPair = new X509Certificate(keys.certificate)
    .checkPrivateKey(createPrivateKey(keys.key));
  return isPair ? ok(keys) : err({
    name: "key",
    reason: `${files.key}: not the key of ${files.certificate}`,
  });
}

/** Reads and validates the certificate of an authority. */
export function readAuthority(file: string): Result<string, string> {
  return readPem(file, PEM_CHECKS.authority);
}

/**
 * Creates an HTTPS server, or without keys an HTTP server. With `isMutual`, the
 * HTTPS server accepts only clients with a certificate of the authority.
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
 * Creates a connector for undici clients. Its errors get the `syscall`
 * `connect` if they have none: no byte of a request was written.
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

/** Creates the TLS options of a WebSocket client. */
export function createSocketOptions(tls: TlsTrust | undefined): ClientOptions {
  // `ws` types the result of `checkServerIdentity` as a boolean; Node expects
  // an error or undefined.
  return tls === undefined
    ? {}
    : createClientOptions(tls) as unknown as ClientOptions;
}

/** Formats an origin as `http://host:port` or `https://host:port`. */
export function formatOrigin(address: string, isTls: boolean): string {
  return `${isTls ? "https" : "http"}://${address}`;
}

/**
 * Creates options that trust only certificates of the authority. Host names are
 * not verified: processes are reached by IP addresses that change, and every
 * holder of a key certified by the authority belongs to the system.
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

/** Reads a PEM file; `check` throws if the text is invalid. */
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
