/** Answers that the backend server cuts, malforms or extends. */
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import { BackendClient } from "../node/backend_client.ts";
import type { BackendResult } from "../node/backend_client.ts";

describe("an answer of the backend server", () => {
  let server: Server;
  let client: BackendClient;
  /** How the server answers a request. */
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => answer(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    client = new BackendClient(`127.0.0.1:${port}`, 4);
  });

  afterEach(async () => {
    await client[Symbol.asyncDispose]();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  function send(): Promise<BackendResult> {
    return new Promise((onEnd) => {
      const request = {
        method: "GET",
        target: "/a",
        headers: [],
        body: new Uint8Array(),
      };
      client.send({
        request,
        checkStart: () => undefined,
        checkHead: () => undefined,
        onEnd,
      });
    });
  }

  function describeResult(result: BackendResult): string {
    return result.type === "Whole"
      ? `whole ${Buffer.from(result.body).toString()}`
      : result.type;
  }

  const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

  it("without a length ends with its connection", async () => {
    answer = (socket) => socket.end(`${HEAD}\r\nwhole`);
    expect(describeResult(await send())).to.equal("whole whole");
  });

  it("without a length is cut when its connection is reset", async () => {
    answer = (socket) => {
      socket.write(`${HEAD}\r\nha`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    };
    expect(describeResult(await send())).to.equal("Broken");
  });

  it("without a length is cut when the reset comes with its bytes", async () => {
    answer = (socket) => {
      socket.write(`${HEAD}\r\nha`);
      socket.resetAndDestroy();
    };
    for (let n = 0; n < 20; n += 1) {
      expect(describeResult(await send())).to.equal("Broken");
    }
  });

  it("in chunks is cut when its connection ends between them", async () => {
    answer = (socket) =>
      socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
    expect(describeResult(await send())).to.equal("Broken");
  });

  it("in chunks is whole after the last chunk", async () => {
    answer = (socket) =>
      socket.end(
        `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n`,
      );
    expect(describeResult(await send())).to.equal("whole half");
  });

  it("shorter than its length is cut", async () => {
    answer = (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`);
    expect(describeResult(await send())).to.equal("Broken");
  });

  it("that is not HTTP is broken", async () => {
    answer = (socket) => socket.end("not HTTP at all\r\n\r\n");
    expect(describeResult(await send())).to.equal("Broken");
  });

  it("is never followed by bytes that are read as another answer", async () => {
    const text = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    answer = (socket) => socket.write(`${text}oneEXTRA`);
    expect(describeResult(await send())).to.equal("whole one");
    answer = (socket) => socket.write(`${text}two`);
    expect(describeResult(await send())).to.equal("whole two");
  });

  it("is known not to have been requested if no server listens", async () => {
    const unused = new BackendClient("127.0.0.1:1", 1);
    const result = await new Promise<BackendResult>((onEnd) =>
      unused.send({
        request: {
          method: "GET",
          target: "/",
          headers: [],
          body: new Uint8Array(),
        },
        checkStart: () => undefined,
        checkHead: () => undefined,
        onEnd,
      })
    );
    await unused[Symbol.asyncDispose]();
    expect(result.type).to.equal("NotSent");
  });
});
