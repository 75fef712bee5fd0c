/** One connection of a caller, with the requests that came on it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import { Pipeline } from "../common/pipeline.ts";

/** A request and its answer. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAtMs: number;
  /** Longest time that its connection can have waited to be accepted. */
  readonly queuedMs: number;
  /** Run once the answer has left, or can't be sent any more. */
  readonly cleanUps: (() => void)[];
  /** Whether the clean-ups were run. */
  isGone: boolean;
}

/** What a connection is built from. */
export interface CallerConnectionOptions {
  /** Begins with an exchange. */
  readonly start: (exchange: Exchange) => void;
  readonly firstRequests: FirstRequestQueue;
}

/** Starts the exchanges of one connection, and withdraws them. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #options: CallerConnectionOptions;
  readonly #pipeline = new Pipeline<Exchange>();
  #isRead = false;

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    // A response that waits for its turn is told nothing of its connection. The
    // end is read a turn or two before the close, and Node's listener ends the
    // other way at once: nobody can be answered any more.
    const loseAll = () => this.#lose(this.#pipeline.closeAll());
    socket.on("end", loseAll);
    socket.on("close", loseAll);
  }

  /** Whether what lay unread when it was accepted has been read. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** Whether all that came has been answered. */
  get isIdle(): boolean {
    return this.#pipeline.size === 0;
  }

  /** Whether what comes now counts as not read. */
  get isClosing(): boolean {
    return this.#pipeline.isClosing;
  }

  /**
   * A connection may have waited to be accepted for longer than its caller
   * did, and its close is read after its first request.
   */
  runOnceRead(run: () => void): void {
    if (this.#isRead) {
      run();
      return;
    }
    this.#options.firstRequests.hold(() => {
      this.#isRead = true;
      run();
    });
  }

  /** Takes a request; one behind an answer that closes is passed over. */
  take(exchange: Exchange): void {
    const { response } = exchange;
    const next = this.#pipeline.add(exchange);
    if (!response.shouldKeepAlive) {
      this.#pipeline.stopAccepting();
    }
    response.on("close", () => this.#end(exchange));
    this.#startAll(next);
    if (this.#pipeline.hasWaiting) {
      this.#socket.pause();
    }
  }

  /**
   * Whether the answer to an exchange may close the connection: an answer
   * before others that run would cut them.
   */
  closeIfLast(exchange: Exchange): boolean {
    const isLast = this.#pipeline.isLast(exchange);
    if (isLast) {
      this.#pipeline.stopAccepting();
    }
    return isLast;
  }

  /** Takes nothing more, and closes once all has been answered. */
  stopTaking(): void {
    this.#pipeline.stopAccepting();
    this.#endIfIdle();
  }

  #end(exchange: Exchange): void {
    const next = this.#pipeline.end(exchange);
    this.#lose([exchange]);
    if (this.#socket.destroyed) {
      return;
    }
    this.#startAll(next);
    if (!this.#pipeline.hasWaiting) {
      this.#socket.resume();
    }
    this.#endIfIdle();
  }

  #endIfIdle(): void {
    if (this.#pipeline.isClosing && this.#pipeline.size === 0) {
      this.#socket.end();
    }
  }

  #startAll(exchanges: readonly Exchange[]): void {
    exchanges.forEach((exchange) => this.#options.start(exchange));
  }

  #lose(exchanges: readonly Exchange[]): void {
    for (const exchange of exchanges) {
      if (!exchange.isGone) {
        exchange.isGone = true;
        exchange.cleanUps.forEach((cleanUp) => cleanUp());
      }
    }
  }
}
