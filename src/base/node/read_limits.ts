/**
 * Limits on how long requests take to arrive, for the listeners that have no
 * configured ones.
 */
import { STATUS_CODES } from "node:http";
import type {
  RequestListener,
  Server,
  ServerOptions,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Longest time from the head of a request to the end of its body. */
export const BODY_TIMEOUT_MS = 20_000;
/** Longest time for a head; for the first one, from the connection on. */
const HEAD_TIMEOUT_MS = 10_000;
/** Interval at which Node looks for late requests. */
const CHECK_INTERVAL_MS = 5_000;

/** Options of a server whose requests have bodies of any duration. */
export const HEAD_LIMITS = {
  headersTimeout: HEAD_TIMEOUT_MS,
  requestTimeout: 0,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
} as const satisfies ServerOptions;

/**
 * Options of a server that reads each request completely. The limit on the whole
 * of a request is for bodies that nobody reads: it leaves `BODY_TIMEOUT_MS` to
 * the others.
 */
export const REQUEST_LIMITS = {
  ...HEAD_LIMITS,
  requestTimeout: HEAD_TIMEOUT_MS + BODY_TIMEOUT_MS + CHECK_INTERVAL_MS,
} as const satisfies ServerOptions;

/** Answers requests to a server that serves upgraded connections only. */
export const refuseWithoutUpgrade: RequestListener = (request, response) => {
  request.resume();
  response.writeHead(426, {
    "connection": "close",
    "content-length": 0,
    "upgrade": "websocket",
  }).end();
};

/** Statuses for bytes that are no request, by the code of Node's error. */
const MALFORMED_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/**
 * Answers bytes that are no request, and requests that don't arrive in time, as
 * Node does. A connection without a byte is closed without an answer: a client
 * that opened it in advance would take one for the answer to its first request.
 * Over TLS such a connection is answered all the same.
 */
export function refuseMalformed(server: Server): void {
  const newest = new WeakMap<Duplex, ServerResponse>();
  server.prependListener(
    "request",
    (request, response) => newest.set(request.socket, response),
  );
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const isUnused = (socket as Socket).bytesRead === 0;
    const isAnswering = newest.get(socket)?.headersSent === true &&
      newest.get(socket)?.writableFinished === false;
    if (socket.writable && !isUnused && !isAnswering) {
      const status = MALFORMED_STATUSES[error.code ?? ""] ?? 400;
      socket.write(
        `HTTP/1.1 ${status} ${
          STATUS_CODES[status]
        }\r\nConnection: close\r\n\r\n`,
      );
    }
    socket.destroy();
  });
}
