/** Bytes of a backend server that are no answer and never end. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { writeEndlessly } from "../../../../standin/endless_writer.ts";
import { BackendClient } from "../node/backend_client.ts";
import type { BackendResult } from "../node/backend_client.ts";

/** Memory of all answers that are being read. */
const MAX_HELD_BYTES = 33_554_432;
const PART_BYTES = 65_536;
const TICK_MS = 20;
/** Longest time until the connection is closed. */
const CLOSE_LIMIT_MS = 3_000;
/** More than a client may read before it closes the connection. */
const MAX_SENT_BYTES = 67_108_864;
const HEAD = "HTTP/1.1 200 OK\r\n";
/** Answers of which each stays below the limit of a single one. */
const CONCURRENT = 6;

interface Result {
  readonly type: BackendResult["type"];
  readonly sentBytes: number;
}

/** Sends one request to a server that never stops to write. */
async function receiveEndless(
  { start, part, pauseMs }: {
    readonly start: string;
    readonly part: string;
    readonly pauseMs: number;
  },
): Promise<Result> {
  const sent: Promise<number>[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(start);
      const maxBytes = MAX_SENT_BYTES;
      sent.push(writeEndlessly(socket, { part, pauseMs, maxBytes }));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new BackendClient({ ip: "127.0.0.1", port }, {
    connections: 1,
    maxHeldBytes: MAX_HELD_BYTES,
  });
  const tick = setInterval(
    () => client.checkProgress(performance.now()),
    TICK_MS,
  );
  try {
    const result = await new Promise<BackendResult>((onEnd) => {
      const request = {
        method: "GET",
        target: "/",
        headers: [],
        body: new Uint8Array(),
      };
      const checkStart = () => undefined;
      client.send({ request, checkStart, checkHead: checkStart, onEnd });
    });
    const closed = await Promise.race([
      Promise.all(sent),
      sleep(CLOSE_LIMIT_MS).then(() => [MAX_SENT_BYTES]),
    ]);
    return { type: result.type, sentBytes: closed[0]! };
  } finally {
    clearInterval(tick);
    await client[Symbol.asyncDispose]();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

describe("bytes without end from a backend server", () => {
  const parts = "a".repeat(PART_BYTES);
  const kinds = [
    ["in the status line", "HTTP/1.1 200 ", parts, "Broken"],
    ["in a header", `${HEAD}X-A: `, parts, "Broken"],
    ["in headers", HEAD, "X-A: a\r\n".repeat(8_192), "Broken"],
    [
      "in the extension of a chunk",
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n1;`,
      parts,
      "Broken",
    ],
    ["in a body without a length", `${HEAD}\r\n`, parts, "Broken"],
    [
      "in chunks of one byte",
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      "1\r\na\r\n".repeat(8_192),
      "Broken",
    ],
    [
      "in chunks of a hundred bytes",
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      `64\r\n${"a".repeat(100)}\r\n`.repeat(600),
      "Broken",
    ],
    [
      "in interim answers",
      "",
      "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2_048),
      "Broken",
    ],
    [
      "behind a whole answer",
      `${HEAD}Content-Length: 1\r\n\r\na`,
      parts,
      "Whole",
    ],
  ] as const;
  for (const [kind, start, part, type] of kinds) {
    // Guards against a connection that is read until the deadline.
    it(`${kind} end with their connection`, async () => {
      const result = await receiveEndless({ start, part, pauseMs: 0 });
      expect(result.type).to.equal(type);
      expect(result.sentBytes).to.be.below(MAX_SENT_BYTES);
    });
  }

  // Guards against memory that grows with the number of such answers.
  it("in several bodies without a length are limited together", async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(`${HEAD}\r\n`);
        return writeEndlessly(socket, {
          part: parts,
          pauseMs: 0,
          maxBytes: MAX_SENT_BYTES,
        });
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const client = new BackendClient({ ip: "127.0.0.1", port }, {
      connections: CONCURRENT,
      maxHeldBytes: MAX_HELD_BYTES,
    });
    const results = await Promise.all(
      Array.from(
        { length: CONCURRENT },
        () =>
          new Promise<BackendResult>((onEnd) => {
            const request = {
              method: "GET",
              target: "/",
              headers: [],
              body: new Uint8Array(),
            };
            const checkStart = () => undefined;
            client.send({ request, checkStart, checkHead: checkStart, onEnd });
          }),
      ),
    );
    sockets.forEach((socket) => socket.destroy());
    await client[Symbol.asyncDispose]();
    server.close();
    const reasons = results.map((result) =>
      result.type === "Broken" ? result.reason : result.type
    );
    expect(reasons).to.include("the answers in progress take too much memory");
  });

  // Guards against a head that is awaited until the deadline.
  it("in a slow status line end with their connection", async () => {
    const result = await receiveEndless({
      start: "HTTP/1.1 200 ",
      part: "a",
      pauseMs: 100,
    });
    expect(result.type).to.equal("Broken");
    expect(result.sentBytes).to.be.below(MAX_SENT_BYTES);
  });
});
