/** Closes an HTTP server without cutting the requests in progress on it. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import { closeLingering } from "./lingering_close.ts";
import { closeListener } from "./listener_close.ts";

interface Connection {
  /** Requests without a complete answer. */
  openCount: number;
  /** Response to the request received last. */
  newest: ServerResponse | undefined;
}

const POLL_INTERVAL_MS = 5;

/** The connections of an HTTP server, each with its requests in progress. */
export class ServedConnections {
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  #isDraining = false;
  #isClosed = false;

  constructor(server: Server) {
    this.#server = server;
    const event = server instanceof TlsServer
      ? "secureConnection"
      : "connection";
    server.on(event, (socket: Socket) => {
      this.#connections.set(socket, { openCount: 0, newest: undefined });
      socket.once("close", () => this.#connections.delete(socket));
      // Node calls it after the last answer, and would destroy the socket.
      socket.destroySoon = () => closeLingering(socket);
    });
  }

  /**
   * Registers a request. Returns whether to process it: one behind an answer
   * that has announced the close of its connection can't be answered, and its
   * caller takes it as unread.
   */
  accept(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection === undefined || !canAnswerNext(socket, connection)) {
      request.resume();
      return false;
    }
    if (this.#isDraining) {
      if (connection.newest !== undefined) {
        connection.newest.shouldKeepAlive = true;
      }
      response.shouldKeepAlive = false;
    }
    connection.newest = response;
    connection.openCount += 1;
    response.once("close", () => {
      connection.openCount -= 1;
      this.#closeAtRest(socket, connection);
    });
    return true;
  }

  /**
   * From now on the answer to the last request of a connection announces its
   * close.
   */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Accepts no more connections, and closes each one when no request on it is
   * unanswered. Resolves before the last of them is closed.
   */
  async close(): Promise<void> {
    this.drain();
    await closeListener(this.#server);
    this.#isClosed = true;
    this.#connections.forEach((connection, socket) =>
      this.#closeAtRest(socket, connection)
    );
  }

  /** Resolves when all connections are closed, or after `maxMs`. */
  async waitForClose(maxMs: number): Promise<void> {
    const endMs = performance.now() + maxMs;
    while (this.#connections.size > 0 && performance.now() < endMs) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  #closeAtRest(socket: Socket, { openCount }: Connection): void {
    if (this.#isClosed && openCount === 0) {
      closeLingering(socket);
    }
  }
}

function canAnswerNext(socket: Socket, { newest }: Connection): boolean {
  const hasAnnouncedClose = newest !== undefined && newest.headersSent &&
    !newest.shouldKeepAlive;
  return !hasAnnouncedClose && !socket.writableEnded;
}
