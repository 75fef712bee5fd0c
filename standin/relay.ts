/**
 * A TCP relay on loopback that can lose track of its open connections: they
 * go silent for good, with no end and no reset, while new ones work.
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { parseAddress } from "../src/base/node/listen.ts";

interface RelayedPair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Which bytes an open connection loses. */
export type RelayFault = "silent" | "cut";

/** Owns a listener and the connections that it passes on. */
export class Relay implements AsyncDisposable {
  readonly address: string;
  /** `host:port` that new connections go to. */
  target = "";
  /** Connections taken so far. */
  count = 0;
  readonly #server: Server;
  readonly #pairs = new Set<RelayedPair>();

  constructor(address: string) {
    this.address = address;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    const { host, port } = parseAddress(this.address)!;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
  }

  /** Makes all open connections go silent, or cuts them. */
  breakOpen(fault: RelayFault): number {
    for (const pair of this.#pairs) {
      if (fault === "cut") {
        pair.near.resetAndDestroy();
        pair.far.resetAndDestroy();
      } else {
        pair.isSilent = true;
      }
    }
    return this.#pairs.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(near: Socket): void {
    this.count += 1;
    const { host, port } = parseAddress(this.target)!;
    const far = connect(port, host);
    const pair: RelayedPair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    this.#pass(pair, near, far);
    this.#pass(pair, far, near);
  }

  /** A silent pair drops bytes, ends and resets alike. */
  #pass(pair: RelayedPair, from: Socket, to: Socket): void {
    from.on("data", (data) => {
      if (!pair.isSilent) {
        to.write(data);
      }
    });
    from.on("end", () => {
      if (!pair.isSilent) {
        to.end();
      }
    });
    from.on("error", () => {});
    from.on("close", () => {
      if (!pair.isSilent) {
        this.#pairs.delete(pair);
        to.destroy();
      }
    });
  }
}
