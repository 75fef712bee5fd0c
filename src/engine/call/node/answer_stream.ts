/** Receives the answer to one attempt and relays it to the caller. */
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";

/** The status and headers of an answer. */
export interface AnswerHead {
  readonly statusCode: number;
  /** Names and values as received, alternating. */
  readonly headers: readonly string[];
}

/**
 * Callbacks for the progress of an attempt. Each except `onData` is called at
 * most once.
 */
export interface AnswerStreamOptions {
  /** The head was received; throws if the answer cannot be relayed. */
  readonly onHead: (head: AnswerHead) => void;
  /** Bytes of the body were received. */
  readonly onData: () => void;
  /** The attempt failed, or its answer was truncated after the head. */
  readonly onFailure: (error: Error) => void;
}

/** A final chunk up to this size is copied so that it goes out in one write. */
const MAX_SINGLE_WRITE_BYTES = 16 * 1024;

/**
 * What happens to the body: it is buffered until the answer is relayed
 * ("waiting"), written to the caller ("relayed"), or read and dropped
 * ("discarded"; "aborted" while the connection closes).
 */
type Phase = "waiting" | "relayed" | "discarded" | "aborted";

/**
 * Handles one request. undici calls it directly, without the stream and the
 * promise that make up most of the cost of `request` for a small answer.
 * Body bytes received before `relay` are buffered while the connection is
 * paused.
 */
export class AnswerStream implements Dispatcher.DispatchHandler {
  readonly #options: AnswerStreamOptions;
  #phase: Phase = "waiting";
  #abort: ((error?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #response: ServerResponse | undefined;
  #head: AnswerHead | undefined;
  /** Chunks received before `relay`. */
  #buffered: Uint8Array[] = [];
  /** Body bytes not received yet; infinite without a Content-Length. */
  #remainingBytes = Infinity;
  /** The final chunk, kept back to be sent together with the end. */
  #lastChunk: Buffer | undefined;
  #isComplete = false;
  #isHeadAccepted = false;

  constructor(options: AnswerStreamOptions) {
    this.#options = options;
  }

  /** The head of the answer; undefined until it has been received. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Whether a head was received and `onHead` accepted it. */
  get isHeadAccepted(): boolean {
    return this.#isHeadAccepted;
  }

  /** Relays the body; the caller must have written the head of `response`. */
  relay(response: ServerResponse): void {
    this.#phase = "relayed";
    this.#response = response;
    response.on("drain", () => this.#resume?.());
    const buffered = this.#buffered;
    this.#buffered = [];
    for (const chunk of buffered) {
      response.write(chunk);
    }
    if (this.#isComplete) {
      response.end();
      return;
    }
    if (!response.writableNeedDrain) {
      this.#resume?.();
    }
  }

  /** Reads and drops the rest, so that the connection can be reused. */
  discard(): void {
    this.#phase = "discarded";
    this.#buffered = [];
    this.#resume?.();
  }

  /** Aborts the attempt and closes its connection if it has one. */
  abort(): void {
    this.#phase = "aborted";
    this.#buffered = [];
    this.#abort?.();
  }

  onConnect(abort: (error?: Error) => void): void {
    this.#abort = abort;
    if (this.#phase === "aborted") {
      abort();
    }
  }

  onHeaders(
    statusCode: number,
    rawHeaders: Buffer[],
    resume: () => void,
  ): boolean {
    if (statusCode < 200) {
      return true;
    }
    this.#resume = resume;
    this.#head = { statusCode, headers: decodeHeaders(rawHeaders) };
    const length = findHeader(this.#head, "content-length");
    this.#remainingBytes = length === undefined ? Infinity : Number(length);
    this.#options.onHead(this.#head);
    this.#isHeadAccepted = true;
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#options.onData();
    this.#remainingBytes -= chunk.length;
    switch (this.#phase) {
      case "waiting":
        this.#buffered.push(chunk);
        return false;
      case "relayed":
        return this.#write(chunk);
      case "discarded":
      case "aborted":
        return true;
    }
  }

  onComplete(): void {
    this.#isComplete = true;
    const lastChunk = this.#lastChunk;
    this.#lastChunk = undefined;
    if (this.#phase === "relayed" && !this.#response!.destroyed) {
      endResponse(this.#response!, lastChunk);
    }
  }

  onError(error: Error): void {
    this.#options.onFailure(error);
  }

  /**
   * Writes a chunk to the caller and returns whether to read on. Drops the
   * chunk if the caller has disconnected, which its exchange reports.
   */
  #write(chunk: Buffer): boolean {
    const response = this.#response!;
    if (response.destroyed) {
      return true;
    }
    // The final chunk is written by `onComplete`, together with the end.
    if (this.#remainingBytes === 0 && chunk.length <= MAX_SINGLE_WRITE_BYTES) {
      this.#lastChunk = chunk;
      return true;
    }
    return response.write(chunk);
  }
}

/**
 * Ends an answer. The final chunk is passed as a string because Node.js then
 * writes it in one buffer with a head that has not been sent yet; latin1 maps
 * every byte to itself.
 */
function endResponse(
  response: ServerResponse,
  lastChunk: Buffer | undefined,
): void {
  if (lastChunk === undefined) {
    response.end();
    return;
  }
  response.end(lastChunk.toString("latin1"), "latin1");
}

/** Decodes as latin1, which preserves every byte whatever the encoding. */
function decodeHeaders(rawHeaders: readonly Buffer[]): readonly string[] {
  return rawHeaders.map((part) => part.toString("latin1"));
}

/** Returns the first value of a header; `name` must be in lower case. */
export function findHeader(head: AnswerHead, name: string): string | undefined {
  const { headers } = head;
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const candidate = headers[i]!;
    if (candidate.length === name.length && candidate.toLowerCase() === name) {
      return headers[i + 1];
    }
  }
  return undefined;
}
