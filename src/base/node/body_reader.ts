/** Reads the complete body of a request, within limits on its size and cost. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteCollector } from "../common/byte_collector.ts";
import { PieceMeter } from "../common/piece_meter.ts";
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
  /** The connection ended before the body was complete. */
  | { readonly type: "Broken" };

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Reserves memory for more bytes of the body; false if there is none left. */
  readonly reserve?: (bytes: number) => boolean;
}

const EMPTY = new Uint8Array();

/** Whether a request has a body; it may be empty. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Reads to the end of the body, or until it exceeds a limit; the rest is then
 * read and dropped. After `TooManyPieces` nothing more is read: `closeAfter` has
 * to close the connection.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, reserve = () => true }: BodyLimits,
): Promise<BodyReadResult> {
  if (!hasBody(request)) {
    return Promise.resolve({ type: "Whole", body: EMPTY });
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector();
    const pieces = new PieceMeter(readSteadyMs);
    let reservedBytes = 0;
    const stop = (result: BodyReadResult) => {
      request.off("data", addChunk);
      dropRest(request, pieces);
      resolve(result);
    };
    const addChunk = (chunk: Uint8Array) => {
      if (collector.length + chunk.length > maxBytes) {
        stop({ type: "TooLarge" });
        return;
      }
      if (!pieces.add(chunk.length)) {
        request.off("data", addChunk);
        request.pause();
        resolve({ type: "TooManyPieces" });
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
    request.on("data", addChunk);
    request.on("end", () => {
      resolve({ type: "Whole", body: collector.join() });
    });
    request.on("error", () => resolve({ type: "Broken" }));
    request.on("close", () => resolve({ type: "Broken" }));
  });
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
