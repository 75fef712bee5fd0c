/** Polls of the health and load endpoints, over loopback. */
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import type { HintReceived } from "../common/load_hint.ts";
import { HintPoller } from "../node/hint_poller.ts";

const HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const UNHEALTHY = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

describe("a poll of the health endpoint", () => {
  let server: Server;
  const accepted = new Set<Socket>();
  /** How the server answers a poll. */
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer((socket) => {
      accepted.add(socket);
      socket.on("error", () => {});
      socket.on("data", () => answer(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(async () => {
    accepted.forEach((socket) => socket.destroy());
    accepted.clear();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  // The extra answer was taken for the answer to the next poll, and reported a
  // backend server as healthy that had just said otherwise.
  it("is never answered by an extra answer to an earlier poll", async () => {
    const served = new Set<Socket>();
    let polls = 0;
    answer = (socket) => {
      polls += 1;
      if (served.has(socket)) {
        socket.write(HEALTHY);
      }
      served.add(socket);
      socket.write(polls === 1 ? HEALTHY : UNHEALTHY);
    };
    const hints: HintReceived[] = [];
    const { port } = server.address() as AddressInfo;
    await new Promise<void>((resolve) => {
      const poller = new HintPoller({
        address: `127.0.0.1:${port}`,
        healthPath: "/health",
        loadPath: undefined,
        onHint: (hint) => {
          hints.push(hint);
          if (hints.length === 3) {
            poller[Symbol.asyncDispose]().then(resolve);
          }
        },
      });
      poller.start();
    });
    expect(hints.map(({ isHealthy }) => isHealthy))
      .to.deep.equal([true, false, false]);
    expect(served.size).to.equal(3);
  });
});
