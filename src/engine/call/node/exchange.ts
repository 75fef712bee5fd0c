/** One HTTP exchange with a caller: a backend server, a client or a node. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { HEADER_PREFIX } from "../common/call_context.ts";
import type { AnswerCall } from "../common/call_events.ts";

/** A request and its response, until the answer has been sent. */
export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether another node made the request. */
  readonly isFromNode: boolean;
  /** The complete body; undefined if it is too large to be buffered. */
  readonly body: Uint8Array | undefined;
}

/** Headers that apply to one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Names and values as sent on the wire, alternating. */
export type RawHeaders = readonly string[];

/** Copies the headers without hop-by-hop headers and this system's own. */
export function copyEndToEndHeaders(raw: RawHeaders): string[] {
  const connectionOptions = readConnectionOptions(raw);
  const copied: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const isSystemHeader = name.startsWith(HEADER_PREFIX);
    if (
      !isSystemHeader && !HOP_BY_HOP_HEADERS.has(name) &&
      !connectionOptions.has(name)
    ) {
      copied.push(raw[i]!, raw[i + 1]!);
    }
  }
  return copied;
}

/** Returns the path of a request target, without its query. */
export function readPath(target: string): string {
  const end = target.indexOf("?");
  return end < 0 ? target : target.slice(0, end);
}

/**
 * Sends an answer that the node generates itself. If the head of another
 * answer has been sent already, closes the connection instead.
 */
export function writeAnswer(exchange: Exchange, answer: AnswerCall): void {
  const { request, response } = exchange;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = `${JSON.stringify({ message: answer.message })}\n`;
  // `request.complete` alone is not enough: a request without a body is
  // answered before its parser sets it.
  const isBodyUnread = exchange.body === undefined && !request.complete;
  response.writeHead(answer.status, {
    ...answer.headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(isBodyUnread ? { connection: "close" } : {}),
  });
  response.end(request.method === "HEAD" ? undefined : body);
  if (isBodyUnread) {
    request.resume();
  }
}

/** Returns the lower-case header names that the Connection headers list. */
function readConnectionOptions(raw: RawHeaders): ReadonlySet<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() === "connection") {
      for (const name of raw[i + 1]!.split(",")) {
        names.add(name.trim().toLowerCase());
      }
    }
  }
  return names;
}
