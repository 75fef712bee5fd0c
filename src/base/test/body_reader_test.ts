/** Bodies of requests that come in pieces. */
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { closeAfter, readBody } from "../node/body_reader.ts";
import type { BodyReadResult } from "../node/body_reader.ts";

/** Time limit of a body, in milliseconds. */
const BODY_MS = 100;

/** Sends one chunk many times as a body; returns how it was read. */
async function sendChunks(
  chunk: string,
  count: number,
): Promise<BodyReadResult> {
  let resolveResult: (result: BodyReadResult) => void = () => {};
  const whole = new Promise<BodyReadResult>((resolve) =>
    resolveResult = resolve
  );
  const server = createServer(async (request, response) => {
    const result = await readBody(request, { maxBytes: 67_108_864 });
    closeAfter(request, response);
    response.writeHead(result.type === "Whole" ? 200 : 408).end();
    resolveResult(result);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.on("error", () => {}).resume();
  socket.write(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
      `${chunk.repeat(count)}0\r\n\r\n`,
  );
  const result = await whole;
  socket.destroy();
  server.closeAllConnections();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return result;
}

describe("the body of a request", () => {
  // Guards against a loop that reads pieces and serves nobody else.
  it("in many pieces of one byte is given up", async () => {
    const { type } = await sendChunks("1\r\na\r\n", 200_000);
    expect(type).to.equal("TooManyPieces");
  });

  it("in many pieces that are not small, or few that are, is read", async () => {
    const long = await sendChunks(`200\r\n${"a".repeat(512)}\r\n`, 20_000);
    expect(long.type === "Whole" && long.body.length).to.equal(10_240_000);
    const short = await sendChunks("1\r\na\r\n", 10_000);
    expect(short.type === "Whole" && short.body.length).to.equal(10_000);
  });

  // Guards against a refusal of a body that waits to be read.
  it("that arrived in time during a long turn of the event loop is read", async () => {
    const result = await sendDuring((socket) => {
      socket.write("cd");
      const endMs = performance.now() + 2 * BODY_MS;
      while (performance.now() < endMs);
    });
    expect(result.type).to.equal("Whole");
  });

  it("that does not arrive in time is given up", async () => {
    expect((await sendDuring(() => {})).type).to.equal("TooLate");
  });
});

/** Sends half a body, calls `run` once its head was read, and reads it. */
async function sendDuring(
  run: (socket: Socket) => void,
): Promise<BodyReadResult> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.on("error", () => {}).resume();
  socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  const request = await new Promise<IncomingMessage>((resolve) =>
    server.once("request", resolve)
  );
  const reading = readBody(request, { maxBytes: 4, maxMs: BODY_MS });
  run(socket);
  const result = await reading;
  socket.destroy();
  server.closeAllConnections();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return result;
}
