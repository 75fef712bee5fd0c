/** Takes one attempt's answer off its connection and passes it on. */
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";

/** The head of an answer. */
export interface AnswerHead {
  readonly statusCode: number;
  /** Names and values in turn, as they came. */
  readonly headers: readonly string[];
}

/** What is told of an attempt; each but `onData` is called at most once. */
export interface AnswerStreamOptions {
  /** The head is here; throws where the answer can't be passed on. */
  readonly onHead: (head: AnswerHead) => void;
  /** Bytes of the body came. */
  readonly onData: () => void;
  /** The attempt failed, or its answer was cut after its head. */
  readonly onFailure: (error: Error) => void;
}

/** A last chunk up to this size is copied to go out in one write. */
const ONE_WRITE_BYTES = 16 * 1024;

type Phase = "waiting" | "relayed" | "discarded" | "aborted";

/**
 * The handler of one request. It is called by undici without a stream or a
 * promise between them, which is most of what `request` costs for a small
 * answer. What comes before `relay` is held, and the connection is paused.
 */
export class AnswerStream implements Dispatcher.DispatchHandler {
  readonly #options: AnswerStreamOptions;
  #phase: Phase = "waiting";
  #abort: ((error?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #response: ServerResponse | undefined;
  #head: AnswerHead | undefined;
  #held: Uint8Array[] = [];
  /** Bytes of the body that are still to come; infinite where unsaid. */
  #leftBytes = Infinity;
  #last: Buffer | undefined;
  #isComplete = false;
  #isAnswered = false;

  constructor(options: AnswerStreamOptions) {
    this.#options = options;
  }

  /** The head of the answer, once it is here. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Whether a head came that was passed on to be answered with. */
  get isAnswered(): boolean {
    return this.#isAnswered;
  }

  /** Sends the body on; the head of `response` is written by then. */
  relay(response: ServerResponse): void {
    this.#phase = "relayed";
    this.#response = response;
    response.on("drain", () => this.#resume?.());
    const held = this.#held;
    this.#held = [];
    for (const chunk of held) {
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

  /** Reads the rest and drops it, so that the connection lives on. */
  discard(): void {
    this.#phase = "discarded";
    this.#held = [];
    this.#resume?.();
  }

  /** Gives the attempt up; its connection closes where it has one. */
  abort(): void {
    this.#phase = "aborted";
    this.#held = [];
    this.#abort?.();
  }

  onConnect(abort: (error?: Error) => void): void {
    this.#abort = abort;
    if (this.#phase === "aborted") {
      abort();
    }
  }

  onHeaders(statusCode: number, raw: Buffer[], resume: () => void): boolean {
    if (statusCode < 200) {
      return true;
    }
    this.#resume = resume;
    this.#head = { statusCode, headers: decodeHeaders(raw) };
    const length = findHeader(this.#head, "content-length");
    this.#leftBytes = length === undefined ? Infinity : Number(length);
    this.#options.onHead(this.#head);
    this.#isAnswered = true;
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#options.onData();
    this.#leftBytes -= chunk.length;
    switch (this.#phase) {
      case "waiting":
        this.#held.push(chunk);
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
    const last = this.#last;
    this.#last = undefined;
    if (this.#phase === "relayed" && !this.#response!.destroyed) {
      endResponse(this.#response!, last);
    }
  }

  onError(error: Error): void {
    this.#options.onFailure(error);
  }

  /** A caller that left is told of by its exchange. */
  #write(chunk: Buffer): boolean {
    const response = this.#response!;
    if (response.destroyed) {
      return true;
    }
    // The last chunk waits for the end that comes with it.
    if (this.#leftBytes === 0 && chunk.length <= ONE_WRITE_BYTES) {
      this.#last = chunk;
      return true;
    }
    return response.write(chunk);
  }
}

/**
 * Ends an answer. As text, the last chunk goes in one buffer with a head that
 * is not out yet, and latin1 keeps every byte as it is.
 */
function endResponse(response: ServerResponse, last: Buffer | undefined): void {
  if (last === undefined) {
    response.end();
    return;
  }
  response.end(last.toString("latin1"), "latin1");
}

/** Every byte of a value keeps its place, whatever it was encoded in. */
function decodeHeaders(raw: readonly Buffer[]): readonly string[] {
  return raw.map((part) => part.toString("latin1"));
}

/** Finds the first value of a header; `name` is in lower case. */
export function findHeader(head: AnswerHead, name: string): string | undefined {
  const { headers } = head;
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const found = headers[i]!;
    if (found.length === name.length && found.toLowerCase() === name) {
      return headers[i + 1];
    }
  }
  return undefined;
}
