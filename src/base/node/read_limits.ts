/**
 * Limits on how long requests take to arrive, for the listeners that have no
 * configured ones.
 */
import type { RequestListener, ServerOptions } from "node:http";

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
