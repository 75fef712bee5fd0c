/** Reads what the reducers need of a request from its head and body. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { CONTEXT_HEADER } from "../common/call_context.ts";
import type { CallReceived, Listener } from "../common/call_events.ts";
import { readPath } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";

/** A request as it arrived. */
export type ArrivedCall = Omit<Exchange, "id"> & {
  /** Length of the body; undefined where it isn't said. */
  readonly bodyBytes: number | undefined;
};

const MAX_CALLER_LENGTH = 64;

/** Creates what the reducers are told of a call. */
export function createCallReceived(
  id: string,
  listener: Listener,
  arrived: ArrivedCall,
): CallReceived {
  const { request, body, bodyBytes } = arrived;
  const context = request.headers[CONTEXT_HEADER];
  return {
    type: "CallReceived",
    exchangeId: id,
    listener,
    method: request.method ?? "GET",
    path: readPath(request.url ?? "/"),
    contextHeader: Array.isArray(context) ? context[0] : context,
    bodyBytes,
    isReplayable: body !== undefined,
    admissionKey: listener === "edge" ? readAdmissionKey(request) : undefined,
    ...(listener === "edge" ? readSender(request) : {}),
    ...readDigest(request, body),
  };
}

/**
 * What names a caller: the key of its request, which its own resends share,
 * else its connection; an address alone would be one name for a whole shop.
 */
function readAdmissionKey(request: IncomingMessage): string | undefined {
  const key = request.headers["idempotency-key"];
  const { remoteAddress, remotePort } = request.socket;
  return typeof key === "string" ? key : `${remoteAddress}:${remotePort}`;
}

/** What its caller's resends of a request are recognised by. */
function readSender(
  { headers, socket, url }: IncomingMessage,
): Pick<CallReceived, "caller" | "requestId"> {
  const name = headers["x-caller-id"];
  const isNamed = typeof name === "string" && name !== "" &&
    name.length <= MAX_CALLER_LENGTH;
  const caller = isNamed ? `id ${name}` : `at ${socket.remoteAddress}`;
  const id = headers["x-request-id"];
  return typeof id === "string" && id !== ""
    ? { caller, requestId: `${url} ${id}` }
    : { caller };
}

/** The digest is of the length alone where the body isn't held whole. */
function readDigest(
  request: IncomingMessage,
  body: Uint8Array | undefined,
): Pick<CallReceived, "requestKey" | "digest"> {
  const hash = createHash("sha256");
  hash.update(`${request.method} ${request.url}\n`);
  hash.update(body ?? `${request.headers["content-length"]}`);
  const digest = hash.digest("base64url");
  const key = request.headers["idempotency-key"];
  return typeof key !== "string" || key === ""
    ? { digest }
    : { digest, requestKey: { key, fingerprint: digest } };
}

/** Reads Content-Length; 0 without a body, undefined for a chunked one. */
export function readBodyBytes(request: IncomingMessage): number | undefined {
  if (request.headers["transfer-encoding"] !== undefined) {
    return undefined;
  }
  return Number(request.headers["content-length"] ?? 0);
}

/** Collects a body of known length whole. */
export function collectBody(
  request: IncomingMessage,
  bodyBytes: number,
  accept: (body: Uint8Array) => void,
): void {
  if (bodyBytes === 0) {
    accept(new Uint8Array(0));
    return;
  }
  const chunks: Uint8Array[] = [];
  request.on("data", (chunk: Uint8Array) => chunks.push(chunk));
  request.on("end", () => accept(Buffer.concat(chunks)));
}
