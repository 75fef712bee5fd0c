/** Buffers the answer of a backend server completely, up to a size limit. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { ByteCollector } from "../../../base/common/byte_collector.ts";
import type { StoredAnswer } from "../../claims/common/claim_types.ts";
import { copyEndToEndHeaders } from "./exchange.ts";

/** An answer that can be relayed to the caller. */
export interface RelayableAnswer {
  readonly statusCode: number;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** The result of reading an answer up to the size limit. */
export interface CollectedAnswer {
  /** Replaces the original answer, whose body has been consumed. */
  readonly relayable: RelayableAnswer;
  /** Undefined if the body exceeds the size limit. */
  readonly stored: StoredAnswer | undefined;
}

/**
 * Reads an answer, buffering up to `maxBytes` of its body. A larger body is
 * relayed as a stream. Throws if the body is truncated while it is buffered.
 */
export async function collectAnswer(
  answer: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<CollectedAnswer> {
  const headers = copyEndToEndHeaders(flattenHeaders(answer.headers));
  const { statusCode } = answer;
  const collector = new ByteCollector();
  const remaining = answer.body[Symbol.asyncIterator]();
  let result = await remaining.next();
  while (result.done !== true) {
    collector.add(result.value as Uint8Array);
    if (collector.length > maxBytes) {
      const read = joinRest(collector.join(), remaining);
      const body = Readable.from(read, { objectMode: false });
      return { relayable: { statusCode, headers, body }, stored: undefined };
    }
    result = await remaining.next();
  }
  const bodyBase64 = Buffer.from(collector.join()).toString("base64");
  const stored = { status: statusCode, headers, bodyBase64 };
  return { relayable: createRelayableAnswer(stored), stored };
}

/** Converts a stored answer into one that can be relayed. */
export function createRelayableAnswer(answer: StoredAnswer): RelayableAnswer {
  const bytes = Buffer.from(answer.bodyBase64, "base64");
  const body = Readable.from(bytes.length === 0 ? [] : [bytes], {
    objectMode: false,
  });
  return { statusCode: answer.status, headers: answer.headers, body };
}

/** Converts parsed headers into a list of alternating names and values. */
export function flattenHeaders(
  headers: Dispatcher.ResponseData["headers"],
): readonly string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ""];
    for (const item of values) {
      flat.push(name, item);
    }
  }
  return flat;
}

/** Yields the buffered bytes, then the chunks that have not been read yet. */
async function* joinRest(
  buffered: Uint8Array,
  remaining: AsyncIterator<unknown>,
): AsyncGenerator<unknown> {
  yield buffered;
  yield* { [Symbol.asyncIterator]: () => remaining };
}
