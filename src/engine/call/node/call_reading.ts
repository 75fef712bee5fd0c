/** Converts an HTTP request into the event that the reducers handle. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../../../base/common/byte_collector.ts";
import { PieceMeter } from "../../../base/common/piece_meter.ts";
import { scheduleTimeout } from "../../../base/node/body_reader.ts";
import { BODY_TIMEOUT_MS } from "../../../base/node/read_limits.ts";
import { readSteadyMs } from "../../../base/node/steady_clock.ts";
import { CONTEXT_HEADER } from "../common/call_context.ts";
import type { CallReceived, Listener } from "../common/call_events.ts";
import { readPath } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";

/** A received request that has no exchange id yet. */
export type IncomingCall = Omit<Exchange, "id"> & {
  /** Length of the body; undefined if the request does not state it. */
  readonly bodyBytes: number | undefined;
};

/** A longer `x-caller-id` is ignored. */
const MAX_CALLER_ID_LENGTH = 64;

/** Creates the event that reports a call to the reducers. */
export function createCallReceived(
  id: string,
  listener: Listener,
  incoming: IncomingCall,
): CallReceived {
  const { request, body, bodyBytes } = incoming;
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
    ...(listener === "edge" ? readResendIdentity(request) : {}),
    ...computeRequestDigest(request, body),
  };
}

/**
 * Returns the idempotency key of the request, which its resends share, or else
 * the remote address and port. The address alone is not enough: clients of one
 * site that share an address would all get the same key.
 */
function readAdmissionKey(request: IncomingMessage): string | undefined {
  const key = request.headers["idempotency-key"];
  const { remoteAddress, remotePort } = request.socket;
  return typeof key === "string" ? key : `${remoteAddress}:${remotePort}`;
}

/** Returns what identifies a request and the resends that its caller makes. */
function readResendIdentity(
  { headers, socket, url }: IncomingMessage,
): Pick<CallReceived, "caller" | "requestId"> {
  const callerId = headers["x-caller-id"];
  const isUsable = typeof callerId === "string" && callerId !== "" &&
    callerId.length <= MAX_CALLER_ID_LENGTH;
  const caller = isUsable ? `id ${callerId}` : `at ${socket.remoteAddress}`;
  const id = headers["x-request-id"];
  return typeof id === "string" && id !== ""
    ? { caller, requestId: `${url} ${id}` }
    : { caller };
}

/**
 * Hashes method, target and body. If the body is not buffered, hashes its
 * Content-Length in its place; chunked bodies then all hash alike.
 */
function computeRequestDigest(
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

/**
 * Returns the length of the body in bytes: 0 without a body, undefined if it
 * is chunked.
 */
export function readBodyBytes(request: IncomingMessage): number | undefined {
  if (request.headers["transfer-encoding"] !== undefined) {
    return undefined;
  }
  return Number(request.headers["content-length"] ?? 0);
}

/**
 * Buffers a body of known length and passes it to `onBody`, synchronously if
 * it is empty. Never calls `onBody` if the request is cut off. Answers 408 to
 * one that isn't complete in time, and closes the connection of one that comes
 * in too many small pieces.
 */
export function collectBody(
  { request, response, bodyBytes }:
    & Pick<IncomingCall, "request" | "response">
    & { readonly bodyBytes: number },
  onBody: (body: Uint8Array) => void,
): void {
  if (bodyBytes === 0) {
    onBody(new Uint8Array(0));
    return;
  }
  const collector = new ByteCollector();
  const pieces = new PieceMeter(readSteadyMs);
  let isLate = false;
  const cancelTimeout = scheduleTimeout(BODY_TIMEOUT_MS, () => {
    isLate = true;
    response.writeHead(408, { "connection": "close", "content-length": 0 })
      .end();
  });
  request.on("data", (chunk: Uint8Array) => {
    if (!pieces.add(chunk.length)) {
      request.socket.destroy();
    } else if (!isLate) {
      collector.add(chunk);
    }
  });
  request.on("close", cancelTimeout);
  request.on("end", () => {
    cancelTimeout();
    if (!isLate) {
      onBody(collector.join());
    }
  });
}
