/** One HTTP exchange with whoever called. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { HEADER_PREFIX } from "../common/call_context.ts";
import type { AnswerCall } from "../common/call_events.ts";

/** A request and its response, until the answer is out. */
export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether another node made the request. */
  readonly isFromNode: boolean;
  /** The whole body, where it is small enough to be sent again. */
  readonly body: Uint8Array | undefined;
}

/** Headers that belong to one connection (RFC 9110, section 7.6.1). */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Names and values in turn, as they go on the wire. */
export type RawHeaders = readonly string[];

/** Copies the headers that go on, without the hop's and the system's own. */
export function copyHeaders(raw: RawHeaders): string[] {
  const named = readConnectionNames(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    const isOurs = name.startsWith(HEADER_PREFIX);
    if (!isOurs && !HOP_HEADERS.has(name) && !named.has(name)) {
      kept.push(raw[i]!, raw[i + 1]!);
    }
  }
  return kept;
}

/** Reads the path of a request target, without its query. */
export function readPath(target: string): string {
  const end = target.indexOf("?");
  return end < 0 ? target : target.slice(0, end);
}

/** Sends an answer of the node's own. */
export function writeAnswer(exchange: Exchange, answer: AnswerCall): void {
  const { request, response } = exchange;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = `${JSON.stringify({ message: answer.message })}\n`;
  // Without a body, a request is answered before its parser calls it complete.
  const isUnread = exchange.body === undefined && !request.complete;
  response.writeHead(answer.status, {
    ...answer.headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(isUnread ? { connection: "close" } : {}),
  });
  response.end(request.method === "HEAD" ? undefined : body);
  if (isUnread) {
    request.resume();
  }
}

function readConnectionNames(raw: RawHeaders): ReadonlySet<string> {
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
