/** Writes answers to callers on this VM. */
import type { ServerResponse } from "node:http";
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { EntryFailure } from "../common/entry_types.ts";

/** An answer as it goes on the wire. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  /** Whether the connection ends with this answer. */
  readonly isLast: boolean;
}

/** A caller honours a wait of at most this part of the time it has left. */
const RETRY_PART = 3;
/** A wait is spread by half of itself: callers come back apart. */
const RETRY_SPREAD = 0.5;
/**
 * Bodies up to this length go as Latin-1 text, which holds all bytes as they
 * are: Node writes such a body and its head in one piece, and any other one as
 * a list of pieces.
 */
const MAX_TEXT_BYTES = 16_384;

/** Writes an answer whole; its length is always said. */
export function writeAnswer(
  response: ServerResponse,
  { status, headers, body, isLast }: CallerAnswer,
): void {
  const own = [...headers, "Content-Length", String(body.length)];
  if (isLast) {
    own.push("Connection", "close");
  }
  response.writeHead(status, own);
  if (body.length <= MAX_TEXT_BYTES) {
    const { buffer, byteOffset, length } = body;
    const bytes = Buffer.from(buffer, byteOffset, length);
    response.end(bytes.toString("latin1"), "latin1");
  } else {
    response.end(body);
  }
}

/** Creates the header that says when to come back, in seconds. */
export function createRetryHeaders(retryAfterMs: number): HeaderList {
  return ["Retry-After", (retryAfterMs / 1_000).toFixed(3)];
}

/** Callers that were refused together come back apart, while they wait. */
export function spreadRetry(
  retryAfterMs: number,
  terms: { readonly timeLeftMs: number; readonly draw: number },
): number {
  const mostMs = Math.max(0, terms.timeLeftMs / RETRY_PART);
  const part = 1 - RETRY_SPREAD / 2 + terms.draw * RETRY_SPREAD;
  return Math.min(retryAfterMs * part, mostMs);
}

/** Gets the status of a call that has no answer of a backend server. */
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
