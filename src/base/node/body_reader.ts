/** Reads the complete body of a request, within limits on its size and cost. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteCollector } from "../common/byte_collector.ts";
import { PieceMeter } from "../common/piece_meter.ts";
import { waitForTurn } from "./listener_close.ts";
import { readSteadyMs } from "./steady_clock.ts";

/** The outcome of reading a body. */
export type BodyReadResult =
  | { readonly type: "Whole"; readonly body: Uint8Array }
  /** The body is larger than `maxBytes`. */
  | { readonly type: "TooLarge" }
  /** The memory for request bodies in this process is used up. */
  | { readonly type: "NoRoom" }
  /** It came in too many small pieces. */
  | { readonly type: "TooManyPieces" }
  /** It was not complete within `maxMs`. */
  | { readonly type: "TooLate" }
  /** The connection ended before the body was complete. */
  | { readonly type: "Broken" };

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Reserves memory for more bytes of the body; false if there is none left. */
  readonly reserve?: (bytes: number) => boolean;
  /** Longest time until the body is complete, in milliseconds; no limit if undefined. */
  readonly maxMs?: number;
}

const EMPTY = new Uint8Array();

/** Whether a request has a body; it may be empty. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/** Longest delay of a timer; Node fires one with a longer delay at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Reads to the end of the body, or until it exceeds a limit; the rest is then
 * read and dropped. After `TooManyPieces` nothing more is read: `closeAfter` has
 * to close the connection. After `TooLate` the caller has to close it.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, reserve = () => true, maxMs }: BodyLimits,
): Promise<BodyReadResult> {
  if (!hasBody(request)) {
    return Promise.resolve({ type: "Whole", body: EMPTY });
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector();
    const pieces = new PieceMeter(readSteadyMs);
    let reservedBytes = 0;
    const finish = (result: BodyReadResult) => {
      cancelTimeout();
      request.off("data", addChunk).off("end", join);
      resolve(result);
    };
    const stop = (result: BodyReadResult) => {
      finish(result);
      dropRest(request, pieces);
    };
    const addChunk = (chunk: Uint8Array) => {
      if (collector.length + chunk.length > maxBytes) {
        stop({ type: "TooLarge" });
        return;
      }
      if (!pieces.add(chunk.length)) {
        finish({ type: "TooManyPieces" });
        request.pause();
        return;
      }
      collector.add(chunk);
      const growth = collector.heldBytes - reservedBytes;
      if (growth > 0 && !reserve(growth)) {
        stop({ type: "NoRoom" });
      } else {
        reservedBytes += growth;
      }
    };
    const join = () => finish({ type: "Whole", body: collector.join() });
    const fail = () => finish({ type: "Broken" });
    const cancelTimeout = scheduleTimeout(
      maxMs,
      () => stop({ type: "TooLate" }),
    );
    request.on("data", addChunk).on("end", join)
      .on("error", fail).on("close", fail);
  });
}

/**
 * Calls `run` after `maxMs`, once the sockets that are readable by then have
 * been read: the rest of a body may have arrived during a long turn of the event
 * loop. Returns a function that cancels the call.
 */
export function scheduleTimeout(
  maxMs: number | undefined,
  run: () => void,
): () => void {
  if (maxMs === undefined) {
    return () => {};
  }
  let isCancelled = false;
  const timer = setTimeout(async () => {
    await waitForTurn();
    if (!isCancelled) {
      run();
    }
  }, Math.min(maxMs, MAX_TIMER_MS));
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
}

/** Closes the connection of a request as soon as its answer is written. */
export function closeAfter(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.shouldKeepAlive = false;
  response.once("finish", () => request.socket.destroy());
}

/** Reads on, and closes the connection if that costs too much. */
function dropRest(request: IncomingMessage, pieces: PieceMeter): void {
  request.on("data", (chunk: Uint8Array) => {
    if (!pieces.add(chunk.length)) {
      request.socket.destroy();
    }
  });
  request.resume();
}
