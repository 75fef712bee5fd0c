/** The node's own answers on callers' connections. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import type { AnswerCall } from "../common/call_events.ts";
import { writeAnswer } from "../node/exchange.ts";

const REFUSAL: AnswerCall = {
  type: "AnswerCall",
  exchangeId: "x",
  status: 503,
  headers: {},
  message: "Refused: level",
};

describe("an answer of the node's own", () => {
  let server: Server;
  let isCollected: boolean;

  before(async () => {
    server = createServer((incoming, response) => {
      // In the same step as the head comes, as for any call without a body.
      const body = isCollected ? new Uint8Array(0) : undefined;
      const parts = { id: "x", request: incoming, response, body };
      writeAnswer({ ...parts, isFromNode: false }, REFUSAL);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  async function readConnection(body: string | null): Promise<unknown> {
    const { port } = server.address() as AddressInfo;
    const method = body === null ? "GET" : "POST";
    const url = `http://127.0.0.1:${port}/`;
    const answer = await request(url, { method, body });
    await answer.body.dump();
    expect(answer.statusCode).to.equal(503);
    return answer.headers["connection"];
  }

  it("leaves the connection open after a request without a body", async () => {
    isCollected = true;
    expect(await readConnection(null)).to.equal("keep-alive");
  });

  it("closes the connection where the body was not read", async () => {
    isCollected = false;
    expect(await readConnection("b".repeat(1_000_000))).to.equal("close");
  });
});
