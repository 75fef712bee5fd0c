/**
 * Guards against running calls whose callers left while the link to the backend
 * server's node was being opened. A cancellation that is sent on open links only
 * is lost then: the call stays in the link's queue, and is sent with its complete
 * body once the link opens. If its remaining time is computed when it is queued
 * rather than when it is sent, its deadline is late as well: a call of a caller
 * that waited 133 ms ran 551 ms after the caller had closed.
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { MEMORY } from "./gate_fakes.ts";
import { findPort } from "../../../../standin/ports.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";
import { MeshClient } from "../../mesh/node/mesh_client.ts";
import { MeshServer } from "../../mesh/node/mesh_server.ts";
import { MemberTable } from "../common/member_table.ts";
import { EntryCalls } from "../node/entry_calls.ts";
import { createAnnouncement } from "./announcements.ts";
import { createEntryRequest } from "./requests.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";

const NEVER_MS = 3_600_000;
const LOAD = { running: 0, queued: 0, limit: 10, pressure: 0, serviceMs: 0 };
/** How long the link is kept from opening. */
const HELD_MS = 300;

/** Proxy that forwards connections and bytes only after `release`. */
class HeldProxy implements AsyncDisposable {
  readonly #server: Server;
  readonly #held: Socket[] = [];
  readonly #targetPort: number;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer({ pauseOnConnect: true }, (socket) => {
      socket.on("error", () => {});
      this.#held.push(socket);
    });
  }

  async open(port: number): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
  }

  release(): void {
    for (const socket of this.#held) {
      const outgoing = connect(this.#targetPort, "127.0.0.1");
      outgoing.on("error", () => {});
      socket.pipe(outgoing).pipe(socket);
      socket.resume();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#held.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** An entry whose link to its only member opens when a test allows it. */
class Entry implements AsyncDisposable {
  readonly received: MeshFrame[] = [];
  readonly calls: EntryCalls;
  readonly #client: MeshClient;
  readonly #server: MeshServer;
  readonly #proxy: HeldProxy;
  readonly #proxyPort: number;

  constructor(meshPort: number, proxyPort: number) {
    const readClock = () => performance.now();
    this.#proxyPort = proxyPort;
    this.#proxy = new HeldProxy(meshPort);
    this.#server = new MeshServer({
      maxBufferedBytes: 16_777_216,
      address: { host: "127.0.0.1", port: meshPort },
      onFrames: (_link, frames) => this.received.push(...frames),
      onClosed: () => {},
      hasCalls: () => true,
      reportIntervalMs: NEVER_MS,
      createReport: () => ({
        type: "LoadReported",
        load: LOAD,
        below: [],
        callers: [],
      }),
      readClock: () => 0,
    });
    this.#client = new MeshClient({
      onFrame: () => {},
      onLost: () => {},
      readClock,
      getService: () => "front",
      getNotice: () => undefined,
    });
    const members = new MemberTable();
    const address = `127.0.0.1:${proxyPort}`;
    members.replace("warehouse", [createAnnouncement(address)]);
    this.calls = new EntryCalls({
      memory: MEMORY,
      dataCentre: "a",
      members,
      budget: { ratio: 0.2, slack: 1_000, windowS: 10 },
      links: {
        send: (to, frame) => this.#client.send(to, frame),
        withdraw: (to, call) => this.#client.withdraw(to, call),
        recall: () => {},
        isOpening: () => false,
        isOpen: (to) => this.#client.isOpen(to),
        getLastReceivedAtMs: (to) => this.#client.getLastReceivedAtMs(to),
        probe: () => {},
        drop: () => {},
      },
      getDrainTimes: () => undefined,
      readClock,
      draw: () => 0,
      getLastRank: () => 0,
      log: { write: () => {} },
      loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
      receiveCallerReport: () => {},
      recordAttempt: () => {},
      recordCallDuration: () => {},
      crashes: createCrashKnowledge(),
      getCallerService: () => "front",
    });
  }

  static async open(): Promise<Entry> {
    const entry = new Entry(await findPort(), await findPort());
    await entry.#server.open();
    await entry.#proxy.open(entry.#proxyPort);
    return entry;
  }

  /** Starts a call; the function returned withdraws it. */
  start(requestId: string, timeoutMs: number, bodyBytes = 0): () => void {
    const arrivedAtMs = performance.now();
    const deadlineMs = arrivedAtMs + timeoutMs;
    const body = new Uint8Array(bodyBytes);
    const request = createEntryRequest({
      requestId,
      arrivedAtMs,
      deadlineMs,
      body,
    });
    return this.calls.start(request, "warehouse", () => {});
  }

  /** Opens the link; returns the calls received once `lastId` is among them. */
  async openLink(lastId: string): Promise<readonly CallOpened[]> {
    this.#proxy.release();
    const list = () =>
      this.received.filter((frame) => frame.type === "CallOpened");
    while (!list().some(({ requestId }) => requestId === lastId)) {
      await sleep(5);
    }
    return list();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#client[Symbol.asyncDispose]();
    await this.#proxy[Symbol.asyncDispose]();
    await this.#server[Symbol.asyncDispose]();
  }
}

describe("a caller that leaves while a link is opened", () => {
  it("has nothing sent for it once the link is open", async () => {
    await using entry = await Entry.open();
    const leave = entry.start("left", 5_000, 200_000);
    entry.start("stays", 5_000);
    await sleep(20);
    leave();
    const calls = await entry.openLink("stays");
    expect(calls.map(({ requestId }) => requestId)).to.deep.equal(["stays"]);
    const parts = entry.received.filter(({ type }) => type === "BodyPart");
    expect(parts, "parts of its body").to.deep.equal([]);
  });
});

describe("a call that waits for its link", () => {
  it("has that much less time left", async () => {
    await using entry = await Entry.open();
    entry.start("waits", 5_000);
    await sleep(HELD_MS);
    const [call] = await entry.openLink("waits");
    // The other node's clock is always 0: this is the remaining time as sent.
    expect(call!.deadlineMs).to.be.at.most(5_000 - HELD_MS);
  });
});
