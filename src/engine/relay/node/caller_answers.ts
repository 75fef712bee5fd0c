/** Writes answers to the callers on this VM. */
import type { ServerResponse } from "node:http";
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { EntryFailure } from "../common/entry_types.ts";

/** An answer as it is sent to a caller. */
export interface CallerAnswer {
  /** HTTP status. */
  readonly status: number;
  /** Without `Content-Length` and `Connection`, which `writeAnswer` adds. */
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  /**
   * Value of the `Connection` header; undefined to let Node decide. Node closes
   * a connection after a final answer without status 100 to a request that
   * expects it, even if the body has arrived.
   */
  readonly connection: "close" | "keep-alive" | undefined;
}

/** `Retry-After` is at most the caller's remaining time divided by this. */
const RETRY_WAIT_DIVISOR = 3;
/** Width of the jitter, as a ratio of the wait: callers retry at different times. */
const RETRY_JITTER_RATIO = 0.5;
/**
 * Bodies up to this length are written as Latin-1 strings, which keep every
 * byte: Node sends a string together with the head in one write, but a buffer
 * as a list of separate pieces.
 */
export const MAX_LATIN1_BODY_BYTES = 16_384;
/**
 * Longer bodies are written in parts of this size, each once the caller has
 * read enough of the one before, which shows whether it reads at all. Node
 * writes what is buffered on a connection as a whole, without such a sign.
 */
const BODY_PART_BYTES = 65_536;
/**
 * Longest body of an answer that announces the close of its connection. A longer
 * one may be read slowly, and requests that arrive meanwhile would be ignored.
 */
export const MAX_CLOSING_BODY_BYTES = BODY_PART_BYTES;

/**
 * Writes a complete answer, always with a `Content-Length`. Calls `onProgress`
 * when a part of a long body was sent. Returns what writes the rest of it.
 */
export function writeAnswer(
  response: ServerResponse,
  { status, headers, body, connection }: CallerAnswer,
  onProgress: () => void,
): () => void {
  const allHeaders = [...headers, "Content-Length", String(body.length)];
  if (connection !== undefined) {
    allHeaders.push("Connection", connection);
  }
  response.writeHead(status, allHeaders);
  if (body.length > BODY_PART_BYTES) {
    return writeParts(response, body, onProgress);
  }
  if (body.length <= MAX_LATIN1_BODY_BYTES) {
    const { buffer, byteOffset, length } = body;
    const bytes = Buffer.from(buffer, byteOffset, length);
    response.end(bytes.toString("latin1"), "latin1");
  } else {
    response.end(body);
  }
  return () => {};
}

function writeParts(
  response: ServerResponse,
  body: Uint8Array,
  onProgress: () => void,
): () => void {
  let rest = body;
  const canWrite = () => !response.destroyed && !response.writableEnded;
  const writeNext = () => {
    if (!canWrite()) {
      return;
    }
    if (rest.length <= BODY_PART_BYTES) {
      response.end(rest);
      return;
    }
    const part = rest.subarray(0, BODY_PART_BYTES);
    rest = rest.subarray(BODY_PART_BYTES);
    response.write(part, (error) => {
      if (error === null || error === undefined) {
        onProgress();
        writeNext();
      }
    });
  };
  writeNext();
  return () => {
    if (canWrite()) {
      response.end(rest);
    }
  };
}

/** Creates the `Retry-After` header, in seconds with three decimals. */
export function createRetryAfterHeaders(retryAfterMs: number): HeaderList {
  return ["Retry-After", (retryAfterMs / 1_000).toFixed(3)];
}

/**
 * Computes how long a refused caller shall wait, in milliseconds: with jitter,
 * so that callers refused together don't retry together, and short enough that
 * the caller is still waiting. `draw` is random, from 0 to 1.
 */
export function computeRetryWaitMs(
  retryAfterMs: number,
  terms: { readonly timeLeftMs: number; readonly draw: number },
): number {
  const maxMs = Math.max(0, terms.timeLeftMs / RETRY_WAIT_DIVISOR);
  const factor = 1 - RETRY_JITTER_RATIO / 2 + terms.draw * RETRY_JITTER_RATIO;
  return Math.min(retryAfterMs * factor, maxMs);
}

/** Returns the HTTP status of a call that no backend server answered. */
export function getStatus(failure: EntryFailure): number {
  switch (failure.type) {
    case "Refused":
      return 503;
    case "Unknown":
      return 502;
    case "Expired":
      return 504;
  }
}
