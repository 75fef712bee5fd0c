/** The close of a listener that callers still connect to, over loopback. */
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { findPort } from "../../../standin/ports.ts";
import { listen } from "../node/listen.ts";
import { closeListener } from "../node/listener_close.ts";

const HOST = "127.0.0.1";
/** Keeps the test within bounds if the listener never closes. */
const MAX_CONNECTIONS = 20_000;

describe("the close of a listener", () => {
  // Guards against a drain that lasts as long as callers keep coming.
  it("ends although connections come in every turn", async () => {
    const port = await findPort();
    const accepted: Socket[] = [];
    const server = createServer((socket) => {
      accepted.push(socket);
      socket.on("error", () => {});
      socket.destroy();
    });
    await listen(server, { host: HOST, port });
    let connectCount = 0;
    let isOver = false;
    const connectNext = () => {
      if (!isOver && connectCount < MAX_CONNECTIONS) {
        connectCount += 1;
        connect(port, HOST).on("error", () => {}).resume();
        setImmediate(connectNext);
      }
    };
    connectNext();
    await closeListener(server);
    isOver = true;
    expect(server.listening).to.equal(false);
    expect(connectCount).to.be.lessThan(MAX_CONNECTIONS);
    expect(accepted).not.to.have.length(0);
  });

  it("leaves connections open", async () => {
    const port = await findPort();
    const accepted: Socket[] = [];
    const server = createServer((socket) => accepted.push(socket));
    await listen(server, { host: HOST, port });
    const caller = connect(port, HOST);
    const isClosed = new Promise((resolve) => caller.on("close", resolve));
    await new Promise((resolve) => caller.on("connect", resolve));
    await closeListener(server);
    expect(accepted).to.have.length(1);
    const [socket] = accepted;
    const received = new Promise((resolve) => caller.on("data", resolve));
    socket!.end("still open");
    expect(String(await received)).to.equal("still open");
    await isClosed;
  });
});
