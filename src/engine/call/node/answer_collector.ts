/** Holds a backend server's answer whole, as far as it is small enough. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { StoredAnswer } from "../../claims/common/claim_types.ts";
import { copyHeaders } from "./exchange.ts";

/** The head and body that are passed on. */
export interface SourceAnswer {
  readonly statusCode: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** An answer that was read. */
export interface CollectedAnswer {
  /** What is passed on in place of the one that was read. */
  readonly source: SourceAnswer;
  /** Undefined where the body is over the limit. */
  readonly stored: StoredAnswer | undefined;
}

/** Reads an answer, up to `maxBytes`; throws where it is cut. */
export async function collectAnswer(
  answer: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<CollectedAnswer> {
  const headers = copyHeaders(flattenHeaders(answer.headers));
  const { statusCode } = answer;
  const chunks: Uint8Array[] = [];
  const rest = answer.body[Symbol.asyncIterator]();
  let total = 0;
  let next = await rest.next();
  while (next.done !== true) {
    const chunk = next.value as Uint8Array;
    chunks.push(chunk);
    total += chunk.length;
    if (total > maxBytes) {
      const body = Readable.from(join(chunks, rest), { objectMode: false });
      return { source: { statusCode, headers, body }, stored: undefined };
    }
    next = await rest.next();
  }
  const bodyBase64 = Buffer.concat(chunks).toString("base64");
  const stored = { status: statusCode, headers, bodyBase64 };
  return { source: createSource(stored), stored };
}

/** Turns a kept answer into one that can be passed on. */
export function createSource(answer: StoredAnswer): SourceAnswer {
  const bytes = Buffer.from(answer.bodyBase64, "base64");
  const body = Readable.from(bytes.length === 0 ? [] : [bytes], {
    objectMode: false,
  });
  return { statusCode: answer.status, headers: answer.headers, body };
}

/** Writes headers as names and values in turn. */
export function flattenHeaders(
  headers: Dispatcher.ResponseData["headers"],
): readonly string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ""];
    for (const one of values) {
      flat.push(name, one);
    }
  }
  return flat;
}

async function* join(
  chunks: readonly Uint8Array[],
  rest: AsyncIterator<unknown>,
): AsyncGenerator<unknown> {
  yield* chunks;
  yield* { [Symbol.asyncIterator]: () => rest };
}
