/** Requests of callers at the listener, over loopback. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { MEMORY } from "./gate_fakes.ts";
import { request } from "undici";
import { findPort } from "../../../../standin/ports.ts";
import type { Route } from "../../routes/common/route_table.ts";
import { EMPTY_STATEMENT } from "../common/backend_notice.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import { NEW_CONNECTION_MS } from "../common/drain_decision.ts";
import type { DrainTimes } from "../common/drain_decision.ts";
import { MAX_CONCURRENT_EXCHANGES } from "../common/pipeline.ts";
import { MAX_WAITING } from "../common/start_wait.ts";
import { readBothClocks } from "../../../base/node/steady_clock.ts";
import { WorkspaceCheck } from "../../workspaces/common/workspace_check.ts";
import { QuotaGate } from "../../workspaces/common/quota_gate.ts";
import { KeyAccess } from "../../workspaces/common/key_access.ts";
import { CallerServer } from "../node/caller_server.ts";

const KEY = "a-key";
const LEASE_MS = 1_000;
/** Time after which a test stops waiting for a condition. */
const WAIT_MS = 5_000;
/** More than the socket buffers of both ends hold. */
const LONG_BODY_BYTES = 33_554_432;
const DIALECT: CallDialect = {
  readRequestMetadata: () => ({ requestId: "r", timeoutMs: 5_000, key: KEY }),
  createCallHeaders: () => [],
  createBackendHeaders: ({ headers }) => headers,
  validateAnswer: () => ({ type: "Answered" }),
  createAnswerHeaders: () => [],
  readLoad: () => undefined,
  readStatement: () => EMPTY_STATEMENT,
};
const ROUTE: Route = {
  name: "lookup",
  host: "127.0.0.1",
  prefix: "/",
  targets: [{ service: "warehouse", weight: 1 }],
  isIdempotent: true,
  timeoutMs: 5_000,
  objectiveMs: 500,
  rank: 2,
  maxAttempts: 1,
};
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** A time limit that passes during a test. */
const SHORT_TIMEOUT_MS = 300;
const REFUSED: EntryResult = {
  type: "Failed",
  failure: { type: "Refused", retryAfterMs: 100 },
};

/** A caller's connection, and the bytes received on it. */
interface Connection {
  readonly socket: Socket;
  received: string;
  isClosed: boolean;
}

/** Formats pipelined requests: sent in a row without waiting for answers. */
function formatRequests(count: number, from = 0): string {
  return Array.from(
    { length: count },
    (_, i) => `GET /${from + i} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n`,
  ).join("");
}

function listStatuses({ received }: Connection): readonly string[] {
  return received.match(/HTTP\/1\.1 \d+/g) ?? [];
}

/** A listener whose calls stay open until a test ends them. */
class Callers implements AsyncDisposable {
  readonly started: EntryRequest[] = [];
  readonly ends: (() => void)[] = [];
  /** Indexes of the withdrawn calls, in order of start. */
  readonly withdrawn: number[] = [];
  isNested = false;
  /** Number of connections accepted. */
  acceptedCount = 0;
  /** What answers each call, in order of start. */
  readonly answers: ((body: Uint8Array) => void)[] = [];
  /** Answers the call started last. */
  answer: (body: Uint8Array) => void = () => {};
  readonly url: string;
  readonly server: CallerServer;
  /** How far the server's clocks are ahead of the test's. */
  aheadMs = 0;
  readonly access = new KeyAccess({
    leaseMs: LEASE_MS,
    readClocks: () => {
      const { steadyMs, wallMs } = readBothClocks();
      return {
        steadyMs: steadyMs + this.aheadMs,
        wallMs: wallMs + this.aheadMs,
      };
    },
    computeDigest: (key) => key,
  });

  readonly workspaces = new WorkspaceCheck(
    this.access,
    new QuotaGate({ terms: undefined, draw: () => 0.5 }),
  );
  /** Whether first requests are held until a test runs `held`. */
  isHolding = false;
  readonly held: (() => void)[] = [];
  /** Number of requests refunded to the limit of their workspace. */
  refundedCount = 0;
  drainTimes: DrainTimes | undefined;

  constructor(port: number, hasRoutes: boolean) {
    this.workspaces.recordNotRun = () => {
      this.refundedCount += 1;
    };
    this.url = `http://127.0.0.1:${port}/`;
    this.server = new CallerServer({
      memory: MEMORY,
      address: { host: "127.0.0.1", port },
      dialect: DIALECT,
      startCall: (entry, _service, onResult) => {
        this.started.push(entry);
        const body = new TextEncoder().encode(entry.target);
        this.ends.push(() =>
          onResult(
            entry.target === "/"
              ? REFUSED
              : { type: "Answered", status: 200, headers: [], body },
          )
        );
        this.answer = (bytes) =>
          onResult({ type: "Answered", status: 200, headers: [], body: bytes });
        this.answers.push(this.answer);
        const number = this.started.length - 1;
        return () => this.withdrawn.push(number);
      },
      workspaces: this.workspaces,
      requestProof: () => {},
      observeCall: () => ({ isNested: this.isNested, repeatShare: 0 }),
      recordConnection: () => this.acceptedCount += 1,
      firstRequests: {
        queuedMs: 0,
        enqueue: (run) => this.isHolding ? this.held.push(run) : run(),
      },
      getCallerService: () => "front",
      getDrainTimes: () => this.drainTimes,
      readClock: () => performance.now() + this.aheadMs,
      draw: () => 0.5,
      log: { write: () => {} },
    });
    if (hasRoutes) {
      this.installRoutes();
    }
  }

  /** Puts the first routes in force. */
  installRoutes(): void {
    const table = { version: 1, routes: [ROUTE], limits: LIMITS };
    this.server.replaceRoutes(table);
  }

  static async open(hasRoutes = true): Promise<Callers> {
    const callers = new Callers(await findPort(), hasRoutes);
    await callers.server.open();
    return callers;
  }

  /** Begins a drain in which no request of `ROUTE` has enough time left. */
  drainLate(): void {
    const nowMs = performance.now() + this.aheadMs;
    this.drainTimes = {
      noticeEndMs: nowMs - 2,
      lastStartMs: nowMs - 1,
      refuseAtMs: nowMs + ROUTE.timeoutMs / 2,
      releaseAtMs: nowMs + ROUTE.timeoutMs / 2,
      endMs: nowMs + ROUTE.timeoutMs / 2,
    };
    this.server.drain();
  }

  /** Sends a request; returns the status of its answer. */
  async send(bodyBytes = 0): Promise<number> {
    const { statusCode, body } = await request(this.url, {
      method: "POST",
      body: Buffer.alloc(bodyBytes),
    });
    await body.dump();
    return statusCode;
  }

  /** Opens a connection, and sends `text` unchanged. */
  connect(text: string, options: { allowHalfOpen?: boolean } = {}): Connection {
    const { hostname: host, port } = new URL(this.url);
    const address = { host, port: Number(port), ...options };
    const socket = connect(address, () => socket.write(text));
    const connection: Connection = { socket, received: "", isClosed: false };
    socket.on("data", (data) => connection.received += String(data));
    socket.on("error", () => {});
    socket.on("close", () => connection.isClosed = true);
    return connection;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.ends.forEach((end) => end());
    await this.server[Symbol.asyncDispose]();
  }
}

describe("the listener for callers", () => {
  it("reports whether the backend server made a call", async () => {
    await using callers = await Callers.open();
    const caller = callers.send();
    await waitFor(() => callers.started.length === 1);
    callers.isNested = true;
    const nested = callers.send();
    await waitFor(() => callers.started.length === 2);
    expect(callers.started.map(({ isNested }) => isNested))
      .to.deep.equal([false, true]);
    callers.ends.forEach((end) => end());
    expect(await Promise.all([caller, nested])).to.deep.equal([503, 503]);
  });

  it("refuses bodies beyond its memory limit, and accepts them later", async () => {
    await using callers = await Callers.open();
    const megabytes = 1_048_576;
    const held = callers.send(40 * megabytes);
    await waitFor(() => callers.started.length === 1);
    expect(await callers.send(20 * megabytes)).to.equal(503);
    expect(callers.started).to.have.length(1);
    callers.ends[0]!();
    expect(await held).to.equal(503);
    const later = callers.send(20 * megabytes);
    await waitFor(() => callers.started.length === 2);
    callers.ends[1]!();
    expect(await later).to.equal(503);
  });
});

describe("an answer", () => {
  it("keeps all bytes of short and of long bodies", async () => {
    for (const length of [256, 16_384, 16_385]) {
      await using callers = await Callers.open();
      const body = Uint8Array.from({ length }, (_, at) => at & 0xff);
      const answer = request(`${callers.url}bytes`);
      await waitFor(() => callers.started.length === 1);
      callers.answer(body);
      const { headers, body: received } = await answer;
      const bytes = new Uint8Array(await received.arrayBuffer());
      expect(headers["content-length"]).to.equal(String(length));
      expect(Buffer.compare(bytes, body)).to.equal(0);
    }
  });
});

describe("an answer to a caller that reads slowly", () => {
  /** Of 16 MB, the largest answer; three of these take all room. */
  const LARGE = new Uint8Array(16_777_216);
  /** More than the time after which an answer that isn't read may be cut. */
  const STALLED_MS = 6_000;

  /** Requests a large answer, and reads none of it. */
  async function openSlow(callers: Callers): Promise<Socket> {
    const { hostname, port } = new URL(callers.url);
    const count = callers.started.length;
    const socket = connect(Number(port), hostname);
    socket.on("error", () => {});
    socket.pause();
    socket.write(formatRequests(1));
    await waitFor(() => callers.started.length === count + 1);
    callers.answer(LARGE);
    return socket;
  }

  /** Sends a request to be answered with `answer`; returns what is received. */
  async function exchange(callers: Callers, answer: Uint8Array) {
    const count = callers.started.length;
    const received = request(`${callers.url}bytes`, { reset: true });
    await waitFor(() => callers.started.length === count + 1);
    callers.answer(answer);
    const { statusCode, body } = await received;
    const { byteLength } = await body.arrayBuffer();
    return [statusCode, byteLength];
  }

  /** Reads until more than `length` bytes were received, or the close. */
  function countBytes(socket: Socket, length = LARGE.length): Promise<number> {
    return new Promise((resolve) => {
      let bytes = 0;
      socket.on("data", (data) => {
        bytes += data.length;
        if (bytes > length) {
          resolve(bytes);
        }
      });
      socket.on("close", () => resolve(bytes));
      socket.resume();
    });
  }

  // Such answers filled the memory of the node.
  it("leaves room for small ones only, and isn't cut while it is read", async () => {
    await using callers = await Callers.open();
    const slow = [];
    for (let n = 0; n < 3; n += 1) {
      slow.push(await openSlow(callers));
    }
    expect(await exchange(callers, LARGE)).to.deep.equal([502, 0]);
    const small = new Uint8Array(16_384);
    expect(await exchange(callers, small)).to.deep.equal([200, 16_384]);
    for (const socket of slow) {
      expect(await countBytes(socket)).to.be.above(LARGE.length);
    }
    expect(await exchange(callers, LARGE))
      .to.deep.equal([200, LARGE.length]);
    slow.forEach((socket) => socket.destroy());
  });

  it("is cut for another once nothing of it was read for some time", async () => {
    await using callers = await Callers.open();
    const stalled = [await openSlow(callers), await openSlow(callers)];
    callers.aheadMs = STALLED_MS;
    const slow = await openSlow(callers);
    expect(await exchange(callers, LARGE))
      .to.deep.equal([200, LARGE.length]);
    const counts = await Promise.all(
      stalled.map((socket) => countBytes(socket)),
    );
    expect(counts.filter((bytes) => bytes > LARGE.length)).to.have.length(1);
    expect(await countBytes(slow)).to.be.above(LARGE.length);
    [...stalled, slow].forEach((socket) => socket.destroy());
  });

  it("isn't cut while it waits for the answer to an earlier request", async () => {
    await using callers = await Callers.open();
    const { socket } = callers.connect(formatRequests(4));
    await waitFor(() => callers.started.length === 4);
    callers.answers.slice(1, 4).forEach((answer) => answer(LARGE));
    callers.aheadMs = STALLED_MS;
    expect(await exchange(callers, LARGE)).to.deep.equal([502, 0]);
    socket.removeAllListeners("data");
    const read = countBytes(socket, 3 * LARGE.length);
    callers.answers[0]!(new Uint8Array(1));
    expect(await read).to.be.above(3 * LARGE.length);
    expect(await exchange(callers, LARGE))
      .to.deep.equal([200, LARGE.length]);
    socket.destroy();
  });

  it("is complete for a caller that has ended its own direction", async () => {
    await using callers = await Callers.open();
    const socket = await openSlow(callers);
    socket.end();
    const read = countBytes(socket);
    expect(await read).to.be.above(LARGE.length);
    socket.destroy();
    await waitFor(() => callers.server.openCount === 0);
  });

  it("frees its room when its caller leaves", async () => {
    await using callers = await Callers.open();
    for (let n = 0; n < 4; n += 1) {
      const slow = [await openSlow(callers), await openSlow(callers)];
      slow.forEach((socket) => socket.destroy());
      await waitFor(() => callers.server.openCount === 0);
    }
    expect(await exchange(callers, LARGE))
      .to.deep.equal([200, LARGE.length]);
  });
});

describe("a request with a key", () => {
  const HEAD =
    "POST /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n\r\n";

  /** Sends a head and half of the body, advances the clock, and sends the rest. */
  async function sendSlowly(callers: Callers, passedMs: number) {
    const workspace = {
      name: "mill",
      keyDigests: [KEY],
      rank: undefined,
      ratePerSecond: 0,
      burst: 0,
    };
    callers.access.replaceWorkspaces([workspace]);
    callers.access.acceptProof(callers.access.requestProof());
    const routes = [{ ...ROUTE, needsKey: true }];
    callers.server.replaceRoutes({ version: 2, routes, limits: LIMITS });
    const connection = callers.connect(`${HEAD}ab`);
    await waitFor(() => callers.server.openCount === 1);
    callers.aheadMs = passedMs;
    connection.socket.write("cd");
    return connection;
  }

  it("is started if its lease still holds once its body is complete", async () => {
    await using callers = await Callers.open();
    await sendSlowly(callers, LEASE_MS / 2);
    await waitFor(() => callers.started.length === 1);
  });

  // Guards against charging a limit for requests that were never run.
  it("is no longer counted if its caller left before it was started", async () => {
    await using callers = await Callers.open();
    callers.isHolding = true;
    const { socket } = await sendSlowly(callers, 0);
    await waitFor(() => callers.held.length === 1);
    socket.destroy();
    await waitFor(() => callers.server.openCount === 0);
    callers.held.forEach((run) => run());
    expect(callers.refundedCount).to.equal(1);
    expect(callers.started).to.have.length(0);
  });

  it("is refused, and no longer counted, if its time is up by then", async () => {
    await using callers = await Callers.open();
    callers.isHolding = true;
    const connection = await sendSlowly(callers, 0);
    await waitFor(() => callers.held.length === 1);
    callers.aheadMs = ROUTE.timeoutMs - 1;
    callers.access.acceptProof(callers.access.requestProof());
    callers.aheadMs += 1;
    callers.held.forEach((run) => run());
    await waitFor(() => connection.received.includes("HTTP/1.1 503"));
    expect(callers.refundedCount).to.equal(1);
    expect(callers.started).to.have.length(0);
  });

  it("is refused if its body took longer than its lease", async () => {
    await using callers = await Callers.open();
    const connection = await sendSlowly(callers, LEASE_MS);
    await waitFor(() => connection.received.includes("HTTP/1.1 503"));
    expect(callers.started).to.have.length(0);
  });
});

describe("requests before any routes are known", () => {
  it("wait for them, and are run then", async () => {
    await using callers = await Callers.open(false);
    const waiting = callers.send();
    await sleep(50);
    callers.server.tick();
    expect(callers.started).to.have.length(0);
    callers.installRoutes();
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    expect(await waiting).to.equal(503);
  });

  it("are refused if none come in time", async () => {
    await using callers = await Callers.open(false);
    const waiting = callers.send();
    await waitFor(() => callers.server.openCount === 1);
    callers.aheadMs = 5_000;
    callers.server.tick();
    expect(await waiting).to.equal(503);
    expect(callers.started).to.have.length(0);
  });

  it("are not run for a caller who has left", async () => {
    await using callers = await Callers.open(false);
    const left = callers.connect(formatRequests(1));
    await waitFor(() => callers.server.openCount === 1);
    left.socket.destroy();
    await waitFor(() => callers.server.openCount === 0);
    callers.installRoutes();
    await sleep(20);
    expect(callers.started).to.have.length(0);
  });

  it("wait in bounded number", async () => {
    await using callers = await Callers.open(false);
    const connections = Array.from(
      { length: MAX_WAITING / MAX_CONCURRENT_EXCHANGES + 1 },
      () => callers.connect(formatRequests(MAX_CONCURRENT_EXCHANGES)),
    );
    const countAnswers = () =>
      connections.reduce((sum, one) => sum + listStatuses(one).length, 0);
    await waitFor(() => countAnswers() === MAX_CONCURRENT_EXCHANGES);
    callers.installRoutes();
    await waitFor(() => callers.started.length === MAX_WAITING);
    connections.forEach(({ socket }) => socket.destroy());
  });
});

describe("requests behind others on a connection", () => {
  it("run beside these, and are answered in the order they came", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(3));
    await waitFor(() => callers.started.length === 3);
    callers.ends[2]!();
    callers.ends[1]!();
    await sleep(50);
    expect(connection.received).to.equal("");
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 3);
    const bodies = connection.received.match(/\r\n\r\n\/\d/g);
    expect(bodies?.map((text) => text.at(-1))).to.deep.equal(["0", "1", "2"]);
    connection.socket.destroy();
  });

  it("start up to a limit, and more start as others end", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      formatRequests(MAX_CONCURRENT_EXCHANGES + 5),
    );
    await waitFor(() => callers.started.length === MAX_CONCURRENT_EXCHANGES);
    await sleep(50);
    expect(callers.started).to.have.length(MAX_CONCURRENT_EXCHANGES);
    callers.ends[0]!();
    await waitFor(() =>
      callers.started.length === MAX_CONCURRENT_EXCHANGES + 1
    );
    connection.socket.write(formatRequests(2, 50));
    await sleep(50);
    while (callers.ends.length < MAX_CONCURRENT_EXCHANGES + 7) {
      callers.ends.forEach((end) => end());
      await sleep(5);
    }
    callers.ends.forEach((end) => end());
    await waitFor(() =>
      listStatuses(connection).length === MAX_CONCURRENT_EXCHANGES + 7
    );
    connection.socket.destroy();
  });

  it("don't delay other connections", async () => {
    await using callers = await Callers.open();
    const full = callers.connect(formatRequests(MAX_CONCURRENT_EXCHANGES + 5));
    await waitFor(() => callers.started.length === MAX_CONCURRENT_EXCHANGES);
    const other = callers.connect(formatRequests(1));
    await waitFor(() =>
      callers.started.length === MAX_CONCURRENT_EXCHANGES + 1
    );
    callers.ends[MAX_CONCURRENT_EXCHANGES]!();
    await waitFor(() => listStatuses(other).length === 1);
    [full, other].forEach(({ socket }) => socket.destroy());
  });

  it("are all withdrawn when their caller leaves", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      formatRequests(MAX_CONCURRENT_EXCHANGES + 3),
    );
    await waitFor(() => callers.started.length === MAX_CONCURRENT_EXCHANGES);
    connection.socket.destroy();
    await waitFor(() => callers.server.openCount === 0);
    expect(callers.withdrawn).to.have.length(MAX_CONCURRENT_EXCHANGES);
    await sleep(50);
    expect(callers.started).to.have.length(MAX_CONCURRENT_EXCHANGES);
  });

  // Guards against a reset of the connection, which drops what is not read yet.
  it("don't cut the last answer before them", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      "GET /0 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n",
    );
    connection.socket.pause();
    await waitFor(() => callers.started.length === 1);
    callers.answer(Buffer.alloc(LONG_BODY_BYTES, "x"));
    // While the caller reads, more bytes arrive than the kernel would keep.
    connection.socket.on("data", () => connection.socket.write("more"));
    connection.socket.resume();
    await waitFor(() => connection.isClosed);
    const bodyAt = connection.received.indexOf("\r\n\r\n") + 4;
    expect(connection.received.length - bodyAt).to.equal(LONG_BODY_BYTES);
    expect(callers.started).to.have.length(1);
  });

  it("are not started behind a request that closes the connection", async () => {
    await using callers = await Callers.open();
    const closing =
      "GET /0 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
    const connection = callers.connect(closing + formatRequests(3, 1));
    await waitFor(() => callers.started.length === 1);
    await sleep(50);
    callers.ends[0]!();
    await waitFor(() => connection.isClosed);
    expect(callers.started).to.have.length(1);
    expect(listStatuses(connection)).to.have.length(1);
    expect(callers.server.openCount).to.equal(0);
  });

  // Guards against a connection that closes after an answer, although another
  // request has been read behind it.
  it("are answered in a drain before the connection is closed", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(3));
    await waitFor(() => callers.started.length === 3);
    callers.server.drain();
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 1);
    callers.drainLate();
    callers.server.close();
    connection.socket.write(formatRequests(1, 3));
    await sleep(50);
    expect(callers.started).to.have.length(3);
    callers.ends[2]!();
    callers.ends[1]!();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal([
      "HTTP/1.1 200",
      "HTTP/1.1 200",
      "HTTP/1.1 200",
      "HTTP/1.1 503",
    ]);
    expect(connection.received.match(/Connection: close/g)).to.have.length(1);
    expect(callers.started).to.have.length(3);
  });

  it("get no 400 for malformed bytes behind them", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      formatRequests(2) + "NO REQUEST AT ALL\r\n\r\n" + formatRequests(1, 2),
    );
    await waitFor(() => callers.started.length === 2);
    await sleep(50);
    expect(connection.received).to.equal("");
    callers.ends.forEach((end) => end());
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal([
      "HTTP/1.1 200",
      "HTTP/1.1 200",
    ]);
    expect(callers.started).to.have.length(2);
  });

  it("are not smuggled in a body with two lengths", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      formatRequests(1) +
        "POST /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + formatRequests(1, 2),
    );
    await waitFor(() => callers.started.length === 1);
    await sleep(50);
    callers.ends[0]!();
    await waitFor(() => connection.isClosed);
    expect(callers.started.map(({ target }) => target)).to.deep.equal(["/0"]);
  });
});

describe("a body that is not complete at the time limit of its route", () => {
  const HEAD = "POST /1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  const LATE = `${HEAD}Content-Length: 4\r\n\r\nab`;

  /** Opens a listener whose route has a short time limit. */
  async function openShort(needsKey = false): Promise<Callers> {
    const callers = await Callers.open();
    const routes = [{ ...ROUTE, needsKey, timeoutMs: SHORT_TIMEOUT_MS }];
    callers.server.replaceRoutes({ version: 2, routes, limits: LIMITS });
    return callers;
  }

  // Guards against a caller that waits for the rest of its own time.
  const bodies = {
    "with a length": LATE,
    "in chunks": `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n`,
    "of which no byte comes": `${HEAD}Content-Length: 4\r\n\r\n`,
    "behind status 100":
      `${HEAD}Expect: 100-continue\r\nContent-Length: 4\r\n\r\n`,
  };
  for (const [name, text] of Object.entries(bodies)) {
    it(`${name} is answered 408, and its connection closes`, async () => {
      await using callers = await openShort();
      const startedAtMs = performance.now();
      const connection = callers.connect(text);
      await waitFor(() => connection.isClosed);
      const [last] = listStatuses(connection).slice(-1);
      expect(last).to.equal("HTTP/1.1 408");
      expect(connection.received).to.match(/\r\nconnection: close\r\n/i);
      expect(performance.now() - startedAtMs)
        .to.be.within(SHORT_TIMEOUT_MS - 1, SHORT_TIMEOUT_MS + 1_000);
      expect(callers.started).to.have.length(0);
      expect(callers.server.openCount).to.equal(0);
    });
  }

  // Guards against a run of what the caller was told will not run.
  it("is not run if it is completed after the answer, nor is what follows", async () => {
    await using callers = await openShort();
    const connection = callers.connect(LATE);
    await waitFor(() => connection.received !== "");
    connection.socket.write(`cd${formatRequests(1)}`);
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 408"]);
    expect(callers.started).to.have.length(0);
  });

  // Guards against an answer that is dropped by a reset for unread bytes, and
  // against a caller that keeps its connection by sending on.
  it("is answered while its caller goes on sending, and is cut then", async () => {
    await using callers = await openShort();
    const connection = callers.connect(
      `${HEAD}Content-Length: ${LONG_BODY_BYTES}\r\n\r\n`,
      { allowHalfOpen: true },
    );
    const timer = setInterval(
      () => connection.socket.write(Buffer.alloc(1_024)),
      5,
    );
    try {
      await waitFor(() => connection.received !== "");
      const answeredAtMs = performance.now();
      await waitFor(() => connection.isClosed);
      expect(performance.now() - answeredAtMs).to.be.below(3_000);
    } finally {
      clearInterval(timer);
    }
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 408"]);
  });

  it("is answered after the requests before it", async () => {
    await using callers = await openShort();
    const connection = callers.connect(formatRequests(1) + LATE);
    await sleep(SHORT_TIMEOUT_MS + 50);
    expect(connection.received).to.equal("");
    callers.ends[0]!();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection))
      .to.deep.equal(["HTTP/1.1 200", "HTTP/1.1 408"]);
  });

  // Guards against a wait for a proof that outlasts the time limit of the route.
  it("isn't waited for where the proof of its key is due", async () => {
    await using callers = await openShort(true);
    const startedAtMs = performance.now();
    const connection = callers.connect(formatRequests(1));
    const ticks = setInterval(() => callers.server.tick(), 50);
    await waitFor(() => listStatuses(connection).length === 1);
    clearInterval(ticks);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 503"]);
    expect(performance.now() - startedAtMs).to.be.below(SHORT_TIMEOUT_MS + 500);
  });

  // Guards against charging a limit for requests that were never run.
  it("is not counted against the limit of its workspace", async () => {
    await using callers = await openShort(true);
    callers.access.replaceWorkspaces([{
      name: "mill",
      keyDigests: [KEY],
      rank: undefined,
      ratePerSecond: 0,
      burst: 0,
    }]);
    callers.access.acceptProof(callers.access.requestProof());
    const connection = callers.connect(LATE);
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 408"]);
    expect(callers.refundedCount).to.equal(1);
  });

  it("is refused once if the node ends before", async () => {
    await using callers = await openShort();
    const connection = callers.connect(LATE);
    await waitFor(() => callers.server.openCount === 1);
    callers.drainLate();
    callers.server.refuseUnstarted();
    await waitFor(() => connection.received !== "");
    await sleep(SHORT_TIMEOUT_MS + 50);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 503"]);
  });
});

describe("the limits on the times of a connection", () => {
  /** Puts limits in force that differ from `LIMITS`. */
  function setLimits(
    callers: Callers,
    limits: Partial<typeof LIMITS>,
  ): void {
    callers.server.replaceRoutes({
      version: 2,
      routes: [ROUTE],
      limits: { ...LIMITS, ...limits },
    });
  }

  /** Opens a connection, and waits for the answer to its first request. */
  async function connectServed(callers: Callers): Promise<Connection> {
    const connection = callers.connect(formatRequests(1, 1));
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 1);
    return connection;
  }

  /** Checks the connections `passedMs` after the start of the test. */
  async function tickAt(callers: Callers, passedMs: number): Promise<void> {
    callers.aheadMs = passedMs;
    callers.server.tick();
    await sleep(20);
  }

  // Guards against a change of a limit that open connections don't follow.
  it("close a connection that was idle when the limit was lowered", async () => {
    await using callers = await Callers.open();
    const connection = await connectServed(callers);
    await tickAt(callers, 5_000);
    expect(connection.isClosed).to.equal(false);
    setLimits(callers, { idleTimeoutMs: 1_500 });
    await tickAt(callers, 5_500);
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.have.length(1);
  });

  it("keep a connection that was idle when the limit was raised", async () => {
    await using callers = await Callers.open();
    setLimits(callers, { idleTimeoutMs: 3_000 });
    const connection = await connectServed(callers);
    await tickAt(callers, 2_900);
    setLimits(callers, { idleTimeoutMs: 20_000 });
    await tickAt(callers, 16_000);
    connection.socket.write(formatRequests(1, 2));
    await waitFor(() => callers.started.length === 2);
    callers.ends[1]!();
    await waitFor(() => listStatuses(connection).length === 2);
  });

  // Guards against the limit on heads where no head has begun.
  it("let a new connection be idle as long as another", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect("");
    await waitFor(() => callers.acceptedCount === 1);
    await tickAt(callers, LIMITS.idleTimeoutMs);
    expect(connection.isClosed).to.equal(false);
    await tickAt(callers, LIMITS.idleTimeoutMs + 1_000);
    await waitFor(() => connection.isClosed);
    expect(connection.received).to.equal("");
  });

  // Guards against heads that hold a connection for ever.
  for (const count of [0, 1]) {
    it(`answer 408 to a head that stops behind ${count} requests`, async () => {
      await using callers = await Callers.open();
      const connection = count === 0
        ? callers.connect("")
        : await connectServed(callers);
      connection.socket.write("GET /2 HTT");
      await sleep(50);
      await tickAt(callers, 1_000);
      await tickAt(callers, 3_500);
      expect(listStatuses(connection)).to.have.length(count);
      await tickAt(callers, 4_500);
      await waitFor(() => connection.isClosed);
      expect(listStatuses(connection).at(-1)).to.equal("HTTP/1.1 408");
      expect(connection.received).to.match(/\r\nConnection: close\r\n\r\n$/);
      expect(listStatuses(connection)).to.have.length(count + 1);
    });
  }

  // Guards against a 408 to nobody, which closes a connection in use.
  it("take an empty line behind a body for no head", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      "POST /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\nab",
    );
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 1);
    connection.socket.write("\r\n");
    await sleep(50);
    await tickAt(callers, 1_000);
    await tickAt(callers, 5_000);
    expect(connection.isClosed).to.equal(false);
    connection.socket.write(formatRequests(1, 2));
    await waitFor(() => callers.started.length === 2);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 200"]);
  });

  // Guards against a 408 that is taken for the answer to the request before.
  it("hold for a head only once the requests before it are answered", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(1, 1));
    await waitFor(() => callers.started.length === 1);
    connection.socket.write("GET /2 HTT");
    await sleep(50);
    await tickAt(callers, 1_000);
    await tickAt(callers, 30_000);
    expect(connection.received).to.equal("");
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 1);
    await tickAt(callers, 30_500);
    await tickAt(callers, 34_000);
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection))
      .to.deep.equal(["HTTP/1.1 200", "HTTP/1.1 408"]);
  });

  // Guards against a close by a process that was busy or stopped, and has not
  // read what came in time.
  it("don't close a connection whose next request waits to be read", async () => {
    await using callers = await Callers.open();
    const connection = await connectServed(callers);
    connection.socket.write(formatRequests(1, 2));
    await tickAt(callers, 60_000);
    await waitFor(() => callers.started.length === 2);
    callers.ends[1]!();
    await waitFor(() => listStatuses(connection).length === 2);
    const head = formatRequests(1, 3);
    connection.socket.write(head.slice(0, 10));
    await sleep(50);
    await tickAt(callers, 61_000);
    connection.socket.write(head.slice(10));
    await tickAt(callers, 65_000);
    await waitFor(() => callers.started.length === 3);
  });

  // Guards against a second answer to a request whose body never ends.
  it("close a connection on which the rest of an answered body is due", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(
      "POST / HTTP/1.1\r\nHost: b.example\r\nContent-Length: 9\r\n\r\nab",
    );
    await waitFor(() => listStatuses(connection).length === 1);
    connection.socket.write("c");
    await sleep(50);
    await tickAt(callers, LIMITS.idleTimeoutMs);
    expect(connection.isClosed).to.equal(false);
    await tickAt(callers, LIMITS.idleTimeoutMs + 1_500);
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 404"]);
  });

  // Guards against callers that reuse a connection for longer than it is kept.
  it("are announced in whole seconds with each answer", async () => {
    await using callers = await Callers.open();
    const connection = await connectServed(callers);
    expect(connection.received).to.match(/\r\nKeep-Alive: timeout=15\r\n/);
    setLimits(callers, { idleTimeoutMs: 2_900 });
    connection.socket.write(formatRequests(1, 2));
    await waitFor(() => callers.started.length === 2);
    callers.ends[1]!();
    await waitFor(() => listStatuses(connection).length === 2);
    expect(connection.received).to.match(/\r\nKeep-Alive: timeout=2\r\n/);
    setLimits(callers, { idleTimeoutMs: 0 });
    connection.socket.write(formatRequests(1, 3));
    await waitFor(() => callers.started.length === 3);
    callers.ends[2]!();
    await waitFor(() => listStatuses(connection).length === 3);
    expect(connection.received.match(/Keep-Alive: timeout/g)).to.have.length(2);
    await tickAt(callers, 1e9);
    expect(connection.isClosed).to.equal(false);
  });
});

describe("a body that exceeds a limit", () => {
  // Guards against a run whose answer can't be sent, as an answer before it has
  // announced the close.
  it("is the last one of its connection", async () => {
    await using callers = await Callers.open();
    const limits = { ...LIMITS, maxBodyBytes: 3 };
    callers.server.replaceRoutes({ version: 2, routes: [ROUTE], limits });
    const connection = callers.connect(
      "POST /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n\r\nabcd" +
        formatRequests(1, 2),
    );
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 413"]);
    expect(callers.started).to.have.length(0);
  });
});

describe("the limit on heads", () => {
  /** Sends a request whose header field has a given length. */
  async function sendHead(
    callers: Callers,
    bytes: number,
  ): Promise<Connection> {
    const connection = callers.connect(
      `GET /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nField: ${
        "a".repeat(bytes)
      }\r\n\r\n`,
    );
    await waitFor(() =>
      callers.started.length > 0 || listStatuses(connection).length > 0
    );
    return connection;
  }

  // Guards against lines that nobody counts or reads: Node drops those beyond a
  // number of them unless told otherwise.
  it("counts and reads any number of lines", async () => {
    await using callers = await Callers.open();
    const lines = "a: b\r\n".repeat(1_500);
    const connection = callers.connect(
      `GET /1 HTTP/1.1\r\n${lines}Host: 127.0.0.1\r\n\r\n`,
    );
    await waitFor(() => callers.started.length === 1);
    const many = callers.connect(
      `GET /2 HTTP/1.1\r\nHost: 127.0.0.1\r\n${lines.repeat(3)}\r\n`,
    );
    await waitFor(() => listStatuses(many).length === 1);
    expect(listStatuses(many)).to.deep.equal(["HTTP/1.1 431"]);
    expect(listStatuses(connection)).to.deep.equal([]);
  });

  // Guards against a parser that takes less than the table in force allows.
  it("follows the table above the least limit of the parser", async () => {
    await using callers = await Callers.open();
    const limits = { ...LIMITS, maxHeaderBytes: 400_000 };
    callers.server.replaceRoutes({ version: 2, routes: [ROUTE], limits });
    await sendHead(callers, 390_000);
    expect(callers.started).to.have.length(1);
  });

  // Guards against a 400 for what is well-formed, and against a reset that drops
  // the answer while the caller sends on.
  for (const bytes of [20_000, 140_000, 900_000]) {
    it(`answers 431 to a head of ${bytes} bytes`, async () => {
      await using callers = await Callers.open();
      const connection = await sendHead(callers, bytes);
      expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 431"]);
      await sleep(100);
      expect(listStatuses(connection)).to.have.length(1);
      expect(callers.started).to.have.length(0);
    });
  }

  it("closes the connection of a caller that sends on after a 431", async () => {
    await using callers = await Callers.open();
    const { port } = new URL(callers.url);
    const socket = connect({ port: Number(port), allowHalfOpen: true });
    let received = "";
    let isClosed = false;
    socket.on("data", (data) => received += String(data));
    socket.on("error", () => {}).on("close", () => isClosed = true);
    socket.write("GET /1 HTTP/1.1\r\nHost: 127.0.0.1\r\nField: ");
    const timer = setInterval(() => socket.write("a".repeat(50_000)), 10);
    try {
      await waitFor(() => isClosed);
    } finally {
      clearInterval(timer);
      socket.destroy();
    }
    expect(received).to.match(/^HTTP\/1\.1 431 /);
  });
});

describe("a drain", () => {
  /** Opens a connection and sends `text` once the server has accepted it. */
  async function connectAccepted(callers: Callers, text: string) {
    const connection = callers.connect("");
    await waitFor(() => callers.acceptedCount === 1);
    connection.socket.write(text);
    return connection;
  }

  // Guards against a request that is taken too late for the grace period, on a
  // connection which was open but without a request when the drain closed.
  it("closes a connection that has sent nothing, and takes nothing", async () => {
    await using callers = await Callers.open();
    const connection = await connectAccepted(callers, "");
    callers.aheadMs = NEW_CONNECTION_MS;
    callers.drainLate();
    await callers.server.close();
    connection.socket.write(formatRequests(1));
    await sleep(50);
    expect(callers.started).to.have.length(0);
    await waitFor(() => connection.isClosed);
    expect(connection.received).to.equal("");
  });

  // Guards against the close of a connection while a request arrives on it: its
  // caller would not know whether it has run.
  const beginnings = {
    "half a head": "GET /0 HTT",
    "a whole one and half a head": formatRequests(1) + "GET /0 HTT",
  };
  for (const [name, text] of Object.entries(beginnings)) {
    it(`refuses the request of a connection that has sent ${name}`, async () => {
      await using callers = await Callers.open();
      const connection = await connectAccepted(callers, text.slice(0, -1));
      await sleep(20);
      connection.socket.write(text.slice(-1));
      await sleep(20);
      callers.ends.forEach((end) => end());
      const count = callers.started.length;
      await waitFor(() => listStatuses(connection).length === count);
      callers.aheadMs = NEW_CONNECTION_MS;
      callers.drainLate();
      await callers.server.close();
      expect(callers.server.isAtRest).to.equal(false);
      connection.socket.write(formatRequests(1).slice("GET /0 HTT".length));
      await waitFor(() => connection.isClosed);
      expect(listStatuses(connection).at(-1)).to.equal("HTTP/1.1 503");
      expect(listStatuses(connection)).to.have.length(count + 1);
      expect(connection.received).to.match(/Retry-After: \d/);
      expect(callers.started).to.have.length(count);
      expect(callers.server.isAtRest).to.equal(true);
    });
  }

  const HEAD = "POST /0 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n";

  // Guards against a body that is read and then cut with its connection.
  for (const close of ["", "Connection: close\r\n"]) {
    it(`refuses a request whose body has not arrived when the node ends: "${close.trim()}"`, async () => {
      await using callers = await Callers.open();
      const connection = await connectAccepted(
        callers,
        `${HEAD}${close}\r\nab`,
      );
      await waitFor(() => callers.server.openCount === 1);
      callers.server.drain();
      await callers.server.close();
      expect(callers.server.isAtRest).to.equal(false);
      callers.server.refuseUnstarted();
      await waitFor(() => connection.isClosed);
      expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 503"]);
      connection.socket.write("cd");
      await sleep(20);
      expect(callers.started).to.have.length(0);
    });
  }

  // Guards against a drain that waits for a body which was read and not used.
  it("is at rest after a request that was refused before its body", async () => {
    await using callers = await Callers.open();
    const connection = await connectAccepted(
      callers,
      HEAD.replace("127.0.0.1", "b.example") + "\r\nab",
    );
    await waitFor(() => listStatuses(connection).length === 1);
    connection.socket.write("cd");
    await waitFor(() => callers.server.isAtRest);
    callers.drainLate();
    await callers.server.close();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 404"]);
  });

  // Guards against answers that are lost behind one that comes too late.
  it("sends the answers behind a request that runs on when the node ends", async () => {
    await using callers = await Callers.open();
    const held = callers.connect(formatRequests(1));
    const alone = callers.connect(formatRequests(1));
    await waitFor(() => callers.started.length === 2);
    callers.drainLate();
    await callers.server.close();
    held.socket.write(formatRequests(1, 1));
    await sleep(50);
    callers.server.releaseHeldAnswers();
    await waitFor(() => held.isClosed);
    expect(listStatuses(held))
      .to.deep.equal(["HTTP/1.1 502", "HTTP/1.1 503"]);
    expect(alone.received).to.equal("");
    alone.socket.destroy();
  });

  // Guards against a close by the HTTP library, which takes a body that was not
  // asked for as missing.
  it("answers what is behind a request that expects status 100", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(1));
    await waitFor(() => callers.started.length === 1);
    callers.drainLate();
    await callers.server.close();
    connection.socket.write(
      `${HEAD}Expect: 100-continue\r\n\r\nabcd${formatRequests(1, 1)}`,
    );
    await sleep(50);
    callers.ends[0]!();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection))
      .to.deep.equal(["HTTP/1.1 200", "HTTP/1.1 503", "HTTP/1.1 503"]);
    expect(callers.started).to.have.length(1);
  });

  // Guards against a body that is asked for and then refused.
  it("asks for no body of a request that it refuses", async () => {
    await using callers = await Callers.open();
    const expecting = `${HEAD}Expect: 100-continue\r\n\r\n`;
    const served = callers.connect(expecting);
    await waitFor(() => listStatuses(served).length === 1);
    served.socket.write("abcd");
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    await waitFor(() => listStatuses(served).length === 2);
    expect(listStatuses(served))
      .to.deep.equal(["HTTP/1.1 100", "HTTP/1.1 200"]);
    callers.drainLate();
    const refused = callers.connect(expecting);
    await waitFor(() => refused.isClosed);
    expect(listStatuses(refused)).to.deep.equal(["HTTP/1.1 503"]);
    expect(callers.started).to.have.length(1);
    served.socket.destroy();
  });

  // Guards against requests that are ignored because an answer before them has
  // announced a close that its caller has not read yet.
  it("answers a request behind an answer that is read slowly", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(2));
    connection.socket.pause();
    await waitFor(() => callers.started.length === 2);
    callers.answers[0]!(Buffer.alloc(LONG_BODY_BYTES, "x"));
    callers.drainLate();
    callers.answers[1]!(Buffer.from("short"));
    await callers.server.close();
    connection.socket.write(formatRequests(1, 2));
    await sleep(50);
    connection.socket.resume();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal([
      "HTTP/1.1 200",
      "HTTP/1.1 200",
      "HTTP/1.1 503",
    ]);
    expect(connection.received.match(/Connection: close/g)).to.have.length(1);
  });

  // Guards against an error event without a listener, which ends the process.
  it("survives malformed bytes after the close", async () => {
    await using callers = await Callers.open();
    const connection = await connectAccepted(callers, "GET /0 HTT");
    await sleep(20);
    callers.aheadMs = NEW_CONNECTION_MS;
    await callers.server.close();
    connection.socket.write("NO REQUEST AT ALL\r\n\r\n");
    await waitFor(() => connection.isClosed);
    expect(callers.started).to.have.length(0);
  });

  // Guards against a first request that arrives together with the close.
  it("serves the first request of a connection opened just before", async () => {
    await using callers = await Callers.open();
    const connection = await connectAccepted(callers, "");
    callers.server.drain();
    const closing = callers.server.close();
    connection.socket.write(formatRequests(1));
    await closing;
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    await waitFor(() => connection.isClosed);
    expect(listStatuses(connection)).to.deep.equal(["HTTP/1.1 200"]);
    expect(connection.received).to.include("Connection: close");
  });

  // Guards against resets of connections that the kernel has established and
  // the process has not accepted yet: closing the listener resets these.
  it("serves the connections that wait to be accepted", async () => {
    await using callers = await Callers.open();
    const count = 50;
    const connections = Array.from(
      { length: count },
      () => callers.connect(formatRequests(1)),
    );
    // Sockets connect in the next tick.
    await new Promise<void>((resolve) => process.nextTick(resolve));
    expect(callers.acceptedCount).to.equal(0);
    callers.server.drain();
    await callers.server.close();
    await waitFor(() => callers.started.length === count);
    callers.ends.forEach((end) => end());
    await waitFor(() => connections.every(({ isClosed }) => isClosed));
    expect(connections.flatMap(listStatuses)).to.have.length(count);
    const late = callers.connect(formatRequests(1));
    await waitFor(() => late.isClosed);
    expect(callers.started).to.have.length(count);
  });

  it("closes a connection whose requests have been answered", async () => {
    await using callers = await Callers.open();
    const connection = callers.connect(formatRequests(1));
    await waitFor(() => callers.started.length === 1);
    callers.ends[0]!();
    await waitFor(() => listStatuses(connection).length === 1);
    callers.server.drain();
    await callers.server.close();
    connection.socket.write(formatRequests(1, 1));
    await waitFor(() => connection.isClosed);
    expect(callers.started).to.have.length(1);
  });

  // Guards against closing a connection after `response.end()` was called and
  // before the socket has taken all bytes of the answer.
  const starts = { "before it": false, "in it": true };
  for (const [when, isInDrain] of Object.entries(starts)) {
    it(`lets a slow reader read an answer begun ${when}`, async () => {
      await using callers = await Callers.open();
      const connection = callers.connect(formatRequests(1));
      connection.socket.pause();
      await waitFor(() => callers.started.length === 1);
      if (isInDrain) {
        callers.server.drain();
      }
      callers.answer(Buffer.alloc(LONG_BODY_BYTES, "x"));
      await sleep(50);
      callers.server.drain();
      await callers.server.close();
      await sleep(50);
      expect(callers.server.openCount).to.equal(1);
      connection.socket.resume();
      await waitFor(() => connection.isClosed);
      const bodyAt = connection.received.indexOf("\r\n\r\n") + 4;
      expect(connection.received.length - bodyAt).to.equal(LONG_BODY_BYTES);
      expect(callers.server.openCount).to.equal(0);
    });
  }
});

function sleep(timeMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}

/** Polls until a condition is met; throws in time, so that the run can end. */
async function waitFor(isMet: () => boolean): Promise<void> {
  const endMs = Date.now() + WAIT_MS;
  while (!isMet()) {
    if (Date.now() > endMs) {
      throw new Error(`Condition was not met within ${WAIT_MS} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
