/** Final answers to callers: of backend servers, and the node's own. */
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryResult } from "../common/entry_types.ts";
import {
  createRetryHeaders,
  getStatus,
  spreadRetry,
  writeAnswer,
} from "./caller_answers.ts";
import type { Exchange } from "./caller_connection.ts";

/** What the replies are built from. */
export interface CallerRepliesOptions {
  readonly dialect: CallDialect;
  readonly readClock: () => number;
  readonly draw: () => number;
  /** Whether the connection ends with the answer to an exchange. */
  readonly closeIfLast: (exchange: Exchange) => boolean;
}

/** Longest wait of a caller that says nothing, where the route allows it. */
export const DEFAULT_PATIENCE_MS = 600_000;

const EMPTY = new Uint8Array();

/** Gives each exchange one answer; a caller that has left gets none. */
export class CallerReplies {
  readonly #options: CallerRepliesOptions;

  constructor(options: CallerRepliesOptions) {
    this.#options = options;
  }

  /** Passes on what became of a call. */
  finish(exchange: Exchange, result: EntryResult): void {
    if (result.type === "Answered") {
      this.#write(exchange, result.status, result.headers, result.body);
      return;
    }
    const { failure } = result;
    if (failure.type === "Refused") {
      this.replyLater(exchange, getStatus(failure), failure.retryAfterMs);
    } else {
      this.reply(exchange, getStatus(failure));
    }
  }

  /** Answers with a status alone. */
  reply(exchange: Exchange, status: number): void {
    this.#write(exchange, status, [], EMPTY);
  }

  /** Tells a caller that its request ran nowhere, and when to come back. */
  replyLater(exchange: Exchange, status: number, retryAfterMs: number): void {
    const { dialect, readClock, draw } = this.#options;
    const { request, arrivedAtMs } = exchange;
    const { timeoutMs: patienceMs = DEFAULT_PATIENCE_MS } = dialect
      .readRequestMetadata(request.headers);
    const timeLeftMs = arrivedAtMs + patienceMs - readClock();
    const afterMs = spreadRetry(retryAfterMs, { timeLeftMs, draw: draw() });
    this.#write(exchange, status, createRetryHeaders(afterMs), EMPTY);
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
