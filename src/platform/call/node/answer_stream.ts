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
    this.#options.onHead(this.#head);
    this.#isAnswered = true;
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#options.onData();
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
    if (this.#phase === "relayed" && !this.#response!.destroyed) {
      this.#response!.end();
    }
  }

  onError(error: Error): void {
    this.#options.onFailure(error);
  }

  /** A caller that left is told of by its exchange. */
  #write(chunk: Buffer): boolean {
    const response = this.#response!;
    return response.destroyed || response.write(chunk);
  }
}

/** Every byte of a value keeps its place, whatever it was encoded in. */
function decodeHeaders(raw: readonly Buffer[]): readonly string[] {
  return raw.map((part) => part.toString("latin1"));
}
