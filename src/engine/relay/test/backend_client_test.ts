/** Answers that the backend server cuts, malforms or extends. */
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import {
  createFramedAnswers,
  CUT_ENDS,
  listCuts,
  writeCut,
} from "../../../../standin/cut_answers.ts";
import { BackendClient } from "../node/backend_client.ts";
import type { BackendResult } from "../node/backend_client.ts";

const SHORT_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
/** More than the socket buffers of a connection hold. */
const LONG_BODY_BYTES = 33_554_432;

/** Memory of all answers that are being read. */
const MAX_HELD_BYTES = 33_554_432;
describe("an answer of the backend server", () => {
  let server: Server;
  const accepted = new Set<Socket>();
  let client: BackendClient;
  /** How the server answers a request. */
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
    const { port } = server.address() as AddressInfo;
    // One, so that requests sent one after the other share it if they can.
    client = new BackendClient({ ip: "127.0.0.1", port }, {
      connections: 1,
      maxHeldBytes: MAX_HELD_BYTES,
    });
  });

  afterEach(async () => {
    await client[Symbol.asyncDispose]();
    accepted.forEach((socket) => socket.destroy());
    accepted.clear();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  function send({ body = new Uint8Array(), checkHead = () => undefined }: {
    readonly body?: Uint8Array;
    readonly checkHead?: () => string | undefined;
  } = {}): Promise<BackendResult> {
    return new Promise((onEnd) => {
      const method = body.length === 0 ? "GET" : "POST";
      const request = { method, target: "/a", headers: [], body };
      const checkStart = () => undefined;
      client.send({ request, checkStart, checkHead, onEnd });
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

  // Guards against a success with an empty or short body, framed as whole, where
  // the backend server stopped in the head of its answer.
  for (const [name, text] of Object.entries(createFramedAnswers())) {
    for (const place of ["alone", "behind another one"]) {
      it(`with ${name} is broken wherever it is cut, ${place}`, async () => {
        const whole: string[] = [];
        for (const [turn, _] of CUT_ENDS.entries()) {
          for (const cut of listCuts(name, text, turn)) {
            if (place === "behind another one") {
              answer = (socket) => socket.write(`${SHORT_HEAD}one`);
              expect(describeResult(await send())).to.equal("whole one");
            }
            answer = (socket) => void writeCut(socket, cut);
            if ((await send()).type === "Whole") {
              whole.push(`${cut.name}, ${cut.end}`);
            }
          }
        }
        expect(whole).to.deep.equal([]);
      });
    }
  }

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

  // A rejected answer belongs to no request: what follows it on its connection
  // may be the answer to the request that it was rejected for.
  it("that is rejected ends its connection", async () => {
    const sockets = new Set<Socket>();
    let rest = "";
    answer = (socket) => {
      sockets.add(socket);
      socket.write(`${SHORT_HEAD}${rest}one`);
      rest = "";
    };
    expect(describeResult(await send())).to.equal("whole one");
    rest = `odd${SHORT_HEAD}`;
    const result = await send({ checkHead: () => "no id" });
    expect(result).to.deep.equal({ type: "Broken", reason: "no id" });
    expect(describeResult(await send())).to.equal("whole one");
    expect(sockets.size).to.equal(2);
  });

  // The next request was written behind the rest of the body, and waited until
  // the server read that or closed the connection.
  it("that comes before a long body was sent ends its connection", async () => {
    const sockets = new Set<Socket>();
    answer = (socket) => {
      if (!sockets.has(socket)) {
        sockets.add(socket);
        socket.pause();
        socket.write(`${SHORT_HEAD}one`);
      }
    };
    const body = new Uint8Array(LONG_BODY_BYTES);
    expect(describeResult(await send({ body }))).to.equal("whole one");
    expect(describeResult(await send())).to.equal("whole one");
    expect(sockets.size).to.equal(2);
  });

  it("that is rejected before a long body was sent ends its connection", async () => {
    const sockets = new Set<Socket>();
    answer = (socket) => {
      if (!sockets.has(socket)) {
        sockets.add(socket);
        socket.pause();
        socket.write(`${SHORT_HEAD}one`);
      }
    };
    const body = new Uint8Array(LONG_BODY_BYTES);
    const result = await send({ body, checkHead: () => "no id" });
    expect(result).to.deep.equal({ type: "Broken", reason: "no id" });
    expect(describeResult(await send())).to.equal("whole one");
    expect(sockets.size).to.equal(2);
  });

  it("is known not to have been requested if no server listens", async () => {
    const unused = new BackendClient({ ip: "127.0.0.1", port: 1 }, {
      connections: 1,
      maxHeldBytes: MAX_HELD_BYTES,
    });
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
