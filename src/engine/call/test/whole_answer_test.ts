/**
 * Complete, truncated and malformed answers of a backend server on a raw socket,
 * relayed through the real listeners of a node.
 */
import { connect, createServer as createTcpServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { EventLoop } from "../../../base/node/event_loop.ts";
import { parseAddress } from "../../../base/node/listen.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import {
  createFramedAnswers,
  CUT_ENDS,
  listCuts,
  writeCut,
} from "../../../../standin/cut_answers.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { isUnsent } from "../node/attempt_sender.ts";
import { CallServer } from "../node/call_server.ts";
import type { CallEffect } from "../node/call_server.ts";
import { findAddress } from "../../../../standin/ports.ts";
import { createMember, createNode, ROW } from "./node_network.ts";

/** More than the buffers of all hops can hold. */
const HUGE_BYTES = 256 * 1024 * 1024;
/** Upper limit for the socket buffers of two hops plus the node's own. */
const MAX_BUFFERED_BYTES = 48 * 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, 1);
/** Effects that the `CallServer` performs; the test ignores all others. */
const HANDLED_EFFECTS: ReadonlySet<NodeEffect["type"]> = new Set([
  "AnswerCall",
  "SendAttempt",
  "AbortAttempt",
  "DiscardAnswer",
  "RelayAnswer",
  "DropExchange",
  "ProbeBackend",
]);

/** Called for each request head; writes the bytes of the answer. */
type Respond = (socket: Socket, path: string) => void;

describe("whole answers", () => {
  const sockets = new Set<Socket>();
  let respond: Respond = () => {};
  let backend: Server;
  let callServer: CallServer;
  let edge: string;
  let loop: EventLoop<NodeState, NodeEvent, NodeEffect>;

  before(async () => {
    backend = createTcpServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => {
        const path = /^[A-Z]+ (\S+) HTTP/.exec(data.toString("latin1"))?.[1];
        if (path !== undefined) {
          respond(socket, path);
        }
      });
    });
    await new Promise<void>((resolve) =>
      backend.listen(0, "127.0.0.1", resolve)
    );
    const { port } = backend.address() as AddressInfo;
    const self = createMember(0);
    const row = { ...ROW, idempotent: false, maxBodyBytes: 2 * HUGE_BYTES };
    loop = new EventLoop<NodeState, NodeEvent, NodeEffect>({
      initial: {
        ...createNode(self, row, [self]),
        backendAddress: `127.0.0.1:${port}`,
      },
      reduce: reduceNode,
      readClock: Date.now,
      perform: (effect) => {
        if (HANDLED_EFFECTS.has(effect.type)) {
          callServer.perform(effect as CallEffect);
        }
      },
    });
    edge = await findAddress();
    callServer = new CallServer({
      listeners: {
        edge: parseAddress(edge)!,
        egress: parseAddress(await findAddress())!,
        ingress: parseAddress(await findAddress())!,
      },
      dispatch: (event) => loop.dispatch(event),
      loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
      recordConnection: () => {},
      firstRequests: { queuedMs: 0, enqueue: (run) => run() },
      connections: 4,
    });
    await callServer.open();
  });

  after(async () => {
    await callServer[Symbol.asyncDispose]();
    for (const socket of sockets) {
      socket.destroy();
    }
    await new Promise((resolve) => backend.close(resolve));
  });

  /** Sends a request at the edge; the body is "cut" if it is truncated. */
  async function fetchAnswer(path: string) {
    const answer = await request(`http://${edge}${path}`);
    const outcome = answer.headers["basilpin-outcome"];
    const body = await answer.body.text().catch(() => "cut");
    return { status: answer.statusCode, outcome, body };
  }

  it("ignores this system's own headers in a backend server's answer", async () => {
    const forged = "basilpin-outcome: not-run\r\nbasilpin-level: i=9, h=1";
    respond = (socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\n${forged}\r\ncontent-length: 2\r\n\r\nok`,
      );
    };
    const answer = await request(`http://${edge}/forged`);
    expect(await answer.body.text()).to.equal("ok");
    expect(answer.headers["basilpin-outcome"]).to.equal("ran");
    expect(answer.headers["basilpin-level"]).to.equal(undefined);
  });

  it("refuses a request with conflicting lengths", async () => {
    const paths: string[] = [];
    respond = (_socket, path) => paths.push(path);
    const { host, port } = parseAddress(edge)!;
    const socket = connect(port, host);
    sockets.add(socket);
    socket.write(
      "POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n" +
        "transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
    );
    const head = await new Promise<string>((resolve) =>
      socket.once("data", (data) => resolve(data.toString("latin1")))
    );
    expect(head).to.match(/^HTTP\/1\.1 400 /);
    expect(paths).to.deep.equal([]);
  });

  const TRUNCATED: Readonly<Record<string, string>> = {
    "a short answer": "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
    "a chunked answer without its end":
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    "a chunk that is cut":
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nshort",
  };
  for (const [name, bytes] of Object.entries(TRUNCATED)) {
    it(`cuts the caller off after ${name}`, async () => {
      respond = (socket) => socket.end(bytes);
      expect((await fetchAnswer("/short")).body).to.equal("cut");
    });
  }

  const UNKNOWN_OUTCOME: Readonly<Record<string, string>> = {
    "an answer that only the connection's end ends":
      "HTTP/1.1 200 OK\r\n\r\nshort",
    "half a head": "HTTP/1.1 200 OK\r\ncontent-le",
    "no byte": "",
  };
  for (const [name, bytes] of Object.entries(UNKNOWN_OUTCOME)) {
    it(`says unknown after ${name}`, async () => {
      respond = (socket) => socket.end(bytes);
      const { status, outcome } = await fetchAnswer("/short");
      expect({ status, outcome }).to.deep.equal({
        status: 502,
        outcome: "unknown",
      });
    });
  }

  // Guards against a success with an empty or short body, framed as whole, where
  // the backend server stopped in the head of its answer.
  for (const [name, text] of Object.entries(createFramedAnswers())) {
    it(`passes on no answer with ${name} as whole, wherever it is cut`, async () => {
      const whole: string[] = [];
      for (const [turn, _] of CUT_ENDS.entries()) {
        for (const cut of listCuts(name, text, turn)) {
          respond = (socket) => void writeCut(socket, cut);
          // The caller's connection may be closed before a head is sent.
          const answer = await fetchAnswer("/cut").catch(() => undefined);
          if (answer?.status === 200 && answer.body !== "cut") {
            whole.push(`${cut.name}, ${cut.end}`);
          }
        }
      }
      expect(whole).to.deep.equal([]);
    });
  }

  it("gives no caller the bytes that follow another's answer", async () => {
    const createAnswer = (path: string) =>
      `HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`;
    respond = (socket, path) => {
      const extra = path === "/first" ? createAnswer("/forged") : "";
      socket.write(createAnswer(path) + extra);
    };
    expect((await fetchAnswer("/first")).body).to.be.oneOf(["/first", "cut"]);
    for (let i = 0; i < 8; i++) {
      expect((await fetchAnswer(`/n${i}`)).body).to.equal(`/n${i}`);
    }
  });

  it("gives each caller its own answer, late ones to nobody", async () => {
    respond = (socket, path) => {
      const delayMs = (Number(path.slice(2)) * 7) % 30;
      const head = `HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n`;
      setTimeout(() => socket.write(head + path), delayMs);
    };
    const bodies = await Promise.all(
      Array.from({ length: 200 }, async (_, i) => {
        const abortController = new AbortController();
        if (i % 3 === 0) {
          setTimeout(() => abortController.abort(), i % 20);
        }
        const { signal } = abortController;
        return await request(`http://${edge}/n${i}`, { signal })
          .then(({ body }) => body.text()).catch(() => undefined);
      }),
    );
    const received = bodies.filter((body) => body !== undefined);
    expect(received.length).to.be.at.least(133);
    bodies.forEach((body, i) => {
      expect(body).to.be.oneOf(
        i % 3 === 0 ? [undefined, `/n${i}`] : [`/n${i}`],
      );
    });
    expect(loop.state.entries.size).to.equal(0);
    expect(loop.state.served.size).to.equal(0);
  });

  /** Polls a byte count until it is positive and has stopped changing. */
  async function waitUntilStable(readBytes: () => number): Promise<number> {
    let last = -1;
    for (let equalPolls = 0; equalPolls < 10; await sleep(30)) {
      const bytes = readBytes();
      equalPolls = bytes === last && bytes > 0 ? equalPolls + 1 : 0;
      last = bytes;
    }
    return last;
  }

  it("holds back a large answer that its caller doesn't read", async () => {
    let writtenBytes = 0;
    respond = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${HUGE_BYTES}\r\n\r\n`);
      const send = () => {
        while (writtenBytes < HUGE_BYTES) {
          writtenBytes += CHUNK.length;
          if (!socket.write(CHUNK)) {
            socket.once("drain", send);
            return;
          }
        }
      };
      send();
    };
    const answer = await request(`http://${edge}/huge`);
    const bufferedBytes = await waitUntilStable(() => writtenBytes);
    expect(bufferedBytes).to.be.below(MAX_BUFFERED_BYTES);
    let readByteCount = 0;
    for await (const chunk of answer.body) {
      readByteCount += (chunk as Uint8Array).length;
    }
    expect(readByteCount).to.equal(HUGE_BYTES);
  });

  it("holds back a large body that its backend server doesn't read", async () => {
    respond = (socket) => socket.pause();
    let sentBytes = 0;
    async function* produce() {
      while (sentBytes < HUGE_BYTES) {
        sentBytes += CHUNK.length;
        yield CHUNK;
        await Promise.resolve();
      }
    }
    const abortController = new AbortController();
    const upload = request(`http://${edge}/upload`, {
      method: "POST",
      body: Readable.from(produce()),
      signal: abortController.signal,
    }).catch(() => undefined);
    const bufferedBytes = await waitUntilStable(() => sentBytes);
    expect(bufferedBytes).to.be.below(MAX_BUFFERED_BYTES);
    abortController.abort();
    await upload;
  });

  it("calls an attempt unsent only where no connection was made", async () => {
    const refused = await request(`http://${await findAddress()}/`).catch(
      (error: unknown) => error,
    );
    expect(isUnsent(refused)).to.equal(true);
    for (const code of ["EHOSTUNREACH", "ECONNRESET", "ECONNREFUSED"]) {
      const lateError = Object.assign(new Error(code), {
        code,
        syscall: "read",
      });
      expect(isUnsent(lateError)).to.equal(false);
    }
  });
});
