/**
 * A TCP relay on loopback that simulates network faults. Its open connections
 * can go silent permanently, without FIN or RST, as when a firewall loses their
 * state, while new connections work.
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { parseAddress } from "../src/base/node/listen.ts";

interface RelayedConnection {
  /** Accepted from the client. */
  readonly inbound: Socket;
  /** Opened to the target. */
  readonly outbound: Socket;
  /** Whether data, ends and errors of both sockets are discarded. */
  isSilent: boolean;
}

/**
 * `silent`: discards all further data and keeps the connection open; `cut`:
 * resets it.
 */
export type RelayFault = "silent" | "cut";

/** Owns a listener and the connections that it relays. */
export class Relay implements AsyncDisposable {
  readonly address: string;
  /** `host:port` that new connections are relayed to. */
  target = "";
  /** Number of connections accepted since the start. */
  count = 0;
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();

  constructor(address: string) {
    this.address = address;
    this.#server = createServer((inbound) => this.#accept(inbound));
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    const { host, port } = parseAddress(this.address)!;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
  }

  /** Applies a fault to all open connections, and returns their number. */
  breakOpen(fault: RelayFault): number {
    for (const connection of this.#connections) {
      if (fault === "cut") {
        connection.inbound.resetAndDestroy();
        connection.outbound.resetAndDestroy();
      } else {
        connection.isSilent = true;
      }
    }
    return this.#connections.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { inbound, outbound } of this.#connections) {
      inbound.destroy();
      outbound.destroy();
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(inbound: Socket): void {
    this.count += 1;
    const { host, port } = parseAddress(this.target)!;
    const outbound = connect(port, host);
    const connection: RelayedConnection = {
      inbound,
      outbound,
      isSilent: false,
    };
    this.#connections.add(connection);
    this.#forward(connection, inbound, outbound);
    this.#forward(connection, outbound, inbound);
  }

  /** Forwards data, end and close in one direction, unless `isSilent`. */
  #forward(connection: RelayedConnection, from: Socket, to: Socket): void {
    from.on("data", (data) => {
      if (!connection.isSilent) {
        to.write(data);
      }
    });
    from.on("end", () => {
      if (!connection.isSilent) {
        to.end();
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      if (!connection.isSilent) {
        this.#connections.delete(connection);
        to.destroy();
      }
    });
  }
}
