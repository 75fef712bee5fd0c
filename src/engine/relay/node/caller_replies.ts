/** Final answers to callers: those of backend servers and the node's own. */
import process from "node:process";
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryResult } from "../common/entry_types.ts";
import type { MemoryShares } from "../common/memory_shares.ts";
import type { RelayLog } from "../common/relay_log.ts";
import { UnsentAnswers } from "../common/unsent_answers.ts";
import {
  computeRetryWaitMs,
  createRetryAfterHeaders,
  getStatus,
  MAX_CLOSING_BODY_BYTES,
  MAX_LATIN1_BODY_BYTES,
  writeAnswer,
} from "./caller_answers.ts";
import type { CallerAnswer } from "./caller_answers.ts";
import type { Exchange } from "./caller_connection.ts";

/** What the replies depend on. */
export interface CallerRepliesOptions {
  /** Limits on the bytes that are held. */
  readonly memory: MemoryShares;
  readonly dialect: CallDialect;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns a random number from 0 to 1. */
  readonly draw: () => number;
  /** Whether answers are to close their connections. */
  readonly isDraining: () => boolean;
  /**
   * Returns whether the answer to an exchange closes the connection. Called when
   * all answers before it on the connection are written.
   */
  readonly closeIfLast: (exchange: Exchange) => boolean;
  /** Returns how long connections may be idle; 0 if there is no limit. */
  readonly getIdleTimeoutMs: () => number;
  readonly log: RelayLog;
}

/**
 * A body is sent in parts of 64 KB, so that an answer without progress for this
 * long is read at less than 13 KB a second.
 */
const STALL_MS = 5_000;

/** Timeout of a caller that states none; the route may set a shorter one. */
export const DEFAULT_CALLER_TIMEOUT_MS = 600_000;

const EMPTY = new Uint8Array();

/** Status in place of an answer without room: the request has run. */
const ANSWER_DROPPED_STATUS = 502;

/** Writes one answer to each exchange, unless its caller has left. */
export class CallerReplies {
  readonly #options: CallerRepliesOptions;
  readonly #unsent: UnsentAnswers<Exchange>;

  constructor(options: CallerRepliesOptions) {
    this.#options = options;
    const { unsentAnswers, shortAnswers } = options.memory;
    this.#unsent = new UnsentAnswers({
      maxBytes: unsentAnswers,
      smallReserveBytes: shortAnswers,
      smallBytes: MAX_LATIN1_BODY_BYTES,
      stallMs: STALL_MS,
    });
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
    const { timeoutMs: callerTimeoutMs = DEFAULT_CALLER_TIMEOUT_MS } = dialect
      .readRequestMetadata(request.headers);
    const timeLeftMs = arrivedAtMs + callerTimeoutMs - readClock();
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
    if (exchange.isEnded || exchange.isAnswered || response.destroyed) {
      return;
    }
    if (!this.#makeRoom(exchange, body.length)) {
      this.reply(exchange, ANSWER_DROPPED_STATUS);
      return;
    }
    exchange.isAnswered = true;
    const write = () => this.#writeNow(exchange, { status, headers, body });
    if (this.#options.isDraining() && response.socket === null) {
      // Whether it is the last one is known when those before it are written.
      // Node sends what it has of the response after the event.
      response.once("socket", () => process.nextTick(write));
    } else {
      write();
    }
  }

  #writeNow(
    exchange: Exchange,
    answer: Omit<CallerAnswer, "connection">,
  ): void {
    const { request, response, awaitsContinue } = exchange;
    if (exchange.isEnded || response.destroyed) {
      return;
    }
    const { readClock, closeIfLast } = this.#options;
    const isLast = answer.body.length <= MAX_CLOSING_BODY_BYTES &&
      closeIfLast(exchange);
    const isKept = !isLast && response.shouldKeepAlive &&
      (!awaitsContinue || request.complete);
    exchange.sendRest = writeAnswer(
      response,
      {
        ...answer,
        headers: isKept
          ? [...answer.headers, ...this.#createKeepAliveHeaders()]
          : answer.headers,
        connection: isLast
          ? "close"
          : isKept && awaitsContinue
          ? "keep-alive"
          : undefined,
      },
      () => this.#unsent.recordProgress(exchange, readClock()),
    );
  }

  /** Creates the `Keep-Alive` header from the limit in force. */
  #createKeepAliveHeaders(): HeaderList {
    const timeoutMs = this.#options.getIdleTimeoutMs();
    return timeoutMs > 0
      ? ["Keep-Alive", `timeout=${Math.floor(timeoutMs / 1_000)}`]
      : [];
  }

  /**
   * Counts an answer as unsent until its exchange ends, and cuts stalled ones
   * for it. Returns whether there is room for it.
   */
  #makeRoom(exchange: Exchange, bytes: number): boolean {
    if (bytes === 0) {
      return true;
    }
    const nowMs = this.#options.readClock();
    const room = this.#unsent.evaluate(bytes, nowMs);
    if (room.type === "NoRoom") {
      this.#logDropped("AnswerDropped", exchange, bytes);
      return false;
    }
    for (const stalled of room.stalled) {
      this.#logDropped("StalledAnswerCut", stalled, bytes);
      this.#unsent.remove(stalled);
      stalled.request.socket.destroy();
    }
    this.#count(exchange, bytes, nowMs);
    return true;
  }

  /** Counts an answer as being sent from when it is the first of its connection. */
  #count(exchange: Exchange, bytes: number, nowMs: number): void {
    const { response, releases } = exchange;
    const isFirst = response.socket !== null;
    this.#unsent.add(exchange, bytes, isFirst ? nowMs : undefined);
    releases.push(() => this.#unsent.remove(exchange));
    if (!isFirst) {
      const { readClock } = this.#options;
      response.once(
        "socket",
        () => this.#unsent.recordProgress(exchange, readClock()),
      );
    }
  }

  /** Logs an answer that is not sent; `bytes` is what room was needed for. */
  #logDropped(event: string, exchange: Exchange, bytes: number): void {
    const { dialect, log } = this.#options;
    const { headers } = exchange.request;
    log.write({
      event,
      isFailure: true,
      requestId: dialect.readRequestMetadata(headers).requestId,
      bytes,
      unsentBytes: this.#unsent.bytes,
    });
  }
}
