/** Final answers to callers: those of backend servers and the node's own. */
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryResult } from "../common/entry_types.ts";
import {
  computeRetryWaitMs,
  createRetryAfterHeaders,
  getStatus,
  writeAnswer,
} from "./caller_answers.ts";
import type { Exchange } from "./caller_connection.ts";

/** What the replies depend on. */
export interface CallerRepliesOptions {
  readonly dialect: CallDialect;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns a random number from 0 to 1. */
  readonly draw: () => number;
  /** Returns whether the answer to an exchange closes the connection. */
  readonly closeIfLast: (exchange: Exchange) => boolean;
}

/** Wait limit of a caller that states none; the route may set a lower one. */
export const DEFAULT_WAIT_LIMIT_MS = 600_000;

const EMPTY = new Uint8Array();

/** Writes one answer to each exchange, unless its caller has left. */
export class CallerReplies {
  readonly #options: CallerRepliesOptions;

  constructor(options: CallerRepliesOptions) {
    this.#options = options;
  }

  /** Answers with the result of a call. */
  finish(exchange: Exchange, result: EntryResult): void {
    if (result.type === "Answered") {
      this.#write(exchange, result.status, result.headers, result.body);
      return;
    }
    const { failure } = result;
    if (failure.type === "Refused") {
      this.replyRetryLater(exchange, getStatus(failure), failure.retryAfterMs);
    } else {
      this.reply(exchange, getStatus(failure));
    }
  }

  /** Answers with a status and an empty body. */
  reply(exchange: Exchange, status: number): void {
    this.#write(exchange, status, [], EMPTY);
  }

  /** Answers that the request was not run, and when to retry it. */
  replyRetryLater(
    exchange: Exchange,
    status: number,
    retryAfterMs: number,
  ): void {
    const { dialect, readClock, draw } = this.#options;
    const { request, arrivedAtMs } = exchange;
    const { patienceMs = DEFAULT_WAIT_LIMIT_MS } = dialect
      .readTerms(request.headers);
    const timeLeftMs = arrivedAtMs + patienceMs - readClock();
    const waitMs = computeRetryWaitMs(retryAfterMs, {
      timeLeftMs,
      draw: draw(),
    });
    this.#write(exchange, status, createRetryAfterHeaders(waitMs), EMPTY);
  }

  #write(
    exchange: Exchange,
    status: number,
    headers: HeaderList,
    body: Uint8Array,
  ): void {
    const { response } = exchange;
    if (response.headersSent || response.destroyed) {
      return;
    }
    const isLast = this.#options.closeIfLast(exchange);
    writeAnswer(response, { status, headers, body, isLast });
  }
}
