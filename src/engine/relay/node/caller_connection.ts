/** A caller's connection with the requests received on it. */
import { STATUS_CODES } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import { hasBody } from "../../../base/node/body_reader.ts";
import { closeLingering } from "../../../base/node/lingering_close.ts";
import { ConnectionTimes } from "../common/connection_times.ts";
import type {
  ConnectionPhase,
  TimeLimits,
} from "../common/connection_times.ts";
import { Pipeline } from "../common/pipeline.ts";

/** A request with its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** When its head was read, by the steady clock. */
  readonly arrivedAtMs: number;
  /**
   * Longest time that its connection can have waited to be accepted, in
   * milliseconds; 0 for all but the first requests of a connection.
   */
  readonly queuedMs: number;
  /** Called once the answer has been sent, or can't be sent any more. */
  readonly cleanUps: (() => void)[];
  /** Whether the clean-ups have been called. */
  isEnded: boolean;
  /** Whether its call has been started. */
  isStarted: boolean;
  /** Whether its answer is known; it may wait for those before it. */
  isAnswered: boolean;
  /** Whether its caller waits for status 100 before it sends the body. */
  awaitsContinue: boolean;
  /** Called once its answer takes no more memory. */
  readonly releases: (() => void)[];
  /** Writes what is left of its answer at once. */
  sendRest: () => void;
}

/**
 * Some callers send an empty line behind a body; servers ignore it (RFC 9112,
 * 2.2), so these bytes begin no head.
 */
const EMPTY_LINE_BYTES = 2;

/** What a connection depends on. */
export interface CallerConnectionOptions {
  /** Starts to process an exchange. */
  readonly start: (exchange: Exchange) => void;
  readonly firstRequests: FirstRequestQueue;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
}

/** Starts the exchanges of a connection in order, and ends them with it. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #options: CallerConnectionOptions;
  readonly #pipeline = new Pipeline<Exchange>();
  /** Those whose answers may take memory; all until their responses close. */
  readonly #unreleased = new Set<Exchange>();
  #hasReadBacklog = false;
  /** Bytes read when a request was received completely for the last time. */
  #completeBytes = 0;
  /** Whether it closes when no request on it is unanswered. */
  #closesAtRest = false;
  readonly #times: ConnectionTimes;
  /** The last request while its body is not complete. */
  #incomplete: IncomingMessage | undefined;

  /** When it was accepted, by the steady clock. */
  readonly acceptedAtMs: number;

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.acceptedAtMs = options.readClock();
    this.#times = new ConnectionTimes(this.acceptedAtMs);
    // Node calls it after the last answer, and would destroy the socket.
    socket.destroySoon = () => closeLingering(socket);
    // A response queued behind others emits no event when its connection closes.
    // The caller's end is read one or two turns of the event loop before the
    // close, and Node then ends the other direction at once, so that no answer
    // can be sent any more.
    const cleanUpAll = () => this.#cleanUp(this.#pipeline.closeAll());
    socket.on("end", cleanUpAll);
    socket.on("close", () => {
      cleanUpAll();
      this.#unreleased.forEach((exchange) => this.#release(exchange));
    });
    // Before Node's own listener, which ends the other direction: a caller that
    // has ended its own reads on to the end of the answer.
    socket.prependListener("end", () => {
      this.#unreleased.forEach(({ sendRest }) => sendRest());
    });
  }

  /** Whether all bytes that were unread when it was accepted have been read. */
  get hasReadBacklog(): boolean {
    return this.#hasReadBacklog;
  }

  /** Whether a byte has been received on it. */
  get hasReceived(): boolean {
    return this.#socket.bytesRead > 0;
  }

  /**
   * Whether a part of a request has been received behind the last complete one.
   * A part that was read together with the end of that one is not noticed before
   * more of it arrives.
   */
  get hasPartialRequest(): boolean {
    return this.#socket.bytesRead > this.#completeBytes;
  }

  /** The requests without a complete answer, in order of arrival. */
  get exchanges(): readonly Exchange[] {
    return this.#pipeline.exchanges;
  }

  /** Whether every request received has been answered. */
  get isIdle(): boolean {
    return this.#pipeline.size === 0;
  }

  /** Whether further requests are ignored; their caller takes them as unread. */
  get isClosing(): boolean {
    return this.#pipeline.isClosing;
  }

  /**
   * Calls `run` once the bytes that were unread at acceptance have been read.
   * The caller may have left while its connection waited to be accepted, and
   * the close is read only after the first request.
   */
  runAfterBacklogRead(run: () => void): void {
    if (this.#hasReadBacklog) {
      run();
      return;
    }
    this.#options.firstRequests.enqueue(() => {
      this.#hasReadBacklog = true;
      run();
    });
  }

  /** Adds a request; ignored if an earlier answer closes the connection. */
  receive(exchange: Exchange): void {
    const { request, response } = exchange;
    this.#recordComplete();
    if (hasBody(request)) {
      this.#incomplete = request;
      request.once("end", () => this.#recordComplete());
    }
    const next = this.#pipeline.add(exchange);
    if (!response.shouldKeepAlive) {
      this.#pipeline.stopAccepting();
    }
    this.#unreleased.add(exchange);
    response.on("close", () => this.#end(exchange));
    this.#startAll(next);
    if (this.#pipeline.hasWaiting) {
      this.#socket.pause();
    }
  }

  /**
   * Returns whether the answer to an exchange may announce the close of the
   * connection, and if so accepts no more requests: its caller takes all behind
   * it as unread. An answer may not if other requests have been received behind
   * it, or may be before the caller can read the announcement.
   */
  closeIfLast(exchange: Exchange): boolean {
    const { complete: isComplete } = exchange.request;
    const hasMore = isComplete && this.hasPartialRequest;
    const isLast = this.#pipeline.isLast(exchange) && !hasMore &&
      this.#socket.writableLength === 0;
    if (isLast) {
      this.#pipeline.stopAccepting();
    }
    return isLast;
  }

  /**
   * Closes once all requests received on it have been answered, and no part of
   * another one has been received.
   */
  closeAtRest(): void {
    this.#closesAtRest = true;
    this.#endIfIdle();
  }

  /** Accepts no more requests, and closes once all have been answered. */
  closeWhenIdle(): void {
    this.#pipeline.stopAccepting();
    this.#endIfIdle();
  }

  /**
   * Answers what has been received of a request that is not complete or not
   * valid, and closes. Only for an idle connection: the caller takes the answer
   * for that of the first request without one.
   */
  reject(status: 400 | 408 | 431): void {
    this.#socket.write(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
        "Content-Length: 0\r\nConnection: close\r\n\r\n",
    );
    this.closeWhenIdle();
  }

  /**
   * Returns what the connection waits for if it has waited too long. Notes a
   * head that has begun to arrive; its time counts from the first call that sees
   * it.
   */
  checkOverdue(
    limits: TimeLimits,
    nowMs: number,
  ): ConnectionPhase | undefined {
    this.#times.observe(this.#getPhase(), nowMs);
    return this.#times.getOverdue(limits, nowMs);
  }

  #getPhase(): ConnectionPhase {
    if (!this.isIdle) {
      return "Answer";
    }
    if (this.#incomplete !== undefined) {
      return "Rest";
    }
    const headBytes = this.#socket.bytesRead - this.#completeBytes;
    return headBytes > EMPTY_LINE_BYTES ? "Head" : "Request";
  }

  /** Records that all bytes of the last request have been received. */
  #recordComplete(): void {
    this.#incomplete = undefined;
    this.#completeBytes = this.#socket.bytesRead;
  }

  #end(exchange: Exchange): void {
    const next = this.#pipeline.end(exchange);
    this.#cleanUp([exchange]);
    this.#release(exchange);
    if (this.#socket.destroyed) {
      return;
    }
    this.#times.start(this.#getPhase(), this.#options.readClock());
    this.#startAll(next);
    if (!this.#pipeline.hasWaiting) {
      this.#socket.resume();
    }
    this.#endIfIdle();
  }

  #endIfIdle(): void {
    const isAtRest = this.#closesAtRest && !this.hasPartialRequest;
    if (this.#pipeline.size === 0 && (this.#pipeline.isClosing || isAtRest)) {
      this.#pipeline.stopAccepting();
      closeLingering(this.#socket);
    }
  }

  #startAll(exchanges: readonly Exchange[]): void {
    exchanges.forEach((exchange) => this.#options.start(exchange));
  }

  #release(exchange: Exchange): void {
    this.#unreleased.delete(exchange);
    exchange.releases.splice(0).forEach((release) => release());
  }

  #cleanUp(exchanges: readonly Exchange[]): void {
    for (const exchange of exchanges) {
      if (!exchange.isEnded) {
        exchange.isEnded = true;
        exchange.cleanUps.forEach((cleanUp) => cleanUp());
      }
    }
  }
}
