/**
 * Callers left while the link to the backend server's node was being opened,
 * and their calls were run half a second later all the same. A withdrawal was
 * sent on open links only, so it was lost; the call stayed in the link's queue
 * with the time left that it had when it was put there, and went out whole once
 * the link opened. Seen as a run 551 ms after a caller with 133 ms of patience
 * had closed, which ended after 14 ms without having been cut. What settled it:
 * with a link held for 300 ms a call of 5,000 ms came with 5,000 ms left, and a
 * call that was withdrawn after 20 ms came with all parts of its body.
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { findPort } from "../../../../standin/ports.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";
import { MeshClient } from "../../mesh/node/mesh_client.ts";
import { MeshServer } from "../../mesh/node/mesh_server.ts";
import { MemberTable } from "../common/member_table.ts";
import { EntryCalls } from "../node/entry_calls.ts";
import { createAnnouncement } from "./announcements.ts";
import { createEntryRequest } from "./requests.ts";

const NEVER_MS = 3_600_000;
const LOAD = { running: 0, queued: 0, limit: 10, pressure: 0, serviceMs: 0 };
const HELD_MS = 300;

/** Passes bytes on, once it is told to. */
class HeldWay implements AsyncDisposable {
  readonly #server: Server;
  readonly #held: Socket[] = [];
  readonly #to: number;

  constructor(to: number) {
    this.#to = to;
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
      const onward = connect(this.#to, "127.0.0.1");
      onward.on("error", () => {});
      socket.pipe(onward).pipe(socket);
      socket.resume();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#held.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** An entry whose link to the one member opens only once it is let. */
class Entry implements AsyncDisposable {
  readonly received: MeshFrame[] = [];
  readonly calls: EntryCalls;
  readonly #client: MeshClient;
  readonly #server: MeshServer;
  readonly #way: HeldWay;
  readonly #wayPort: number;

  constructor(meshPort: number, wayPort: number) {
    const readClock = () => performance.now();
    this.#wayPort = wayPort;
    this.#way = new HeldWay(meshPort);
    this.#server = new MeshServer({
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
    });
    const members = new MemberTable();
    const address = `127.0.0.1:${wayPort}`;
    members.replace("warehouse", [createAnnouncement(address)]);
    this.calls = new EntryCalls({
      dataCentre: "a",
      members,
      budget: { ratio: 0.2, slack: 1_000, windowS: 10 },
      links: {
        send: (to, frame) => this.#client.send(to, frame),
        withdraw: (to, call) => this.#client.withdraw(to, call),
        isOpen: (to) => this.#client.isOpen(to),
        getLastReceivedAtMs: (to) => this.#client.getLastReceivedAtMs(to),
        probe: () => {},
        drop: () => {},
      },
      readClock,
      draw: () => 0,
      getLastRank: () => 0,
      log: { write: () => {} },
      loop: { lagMs: 0, runOnceRead: (run) => run() },
      receiveCallerReport: () => {},
      recordAttempt: () => {},
      recordCallDuration: () => {},
    });
  }

  static async open(): Promise<Entry> {
    const entry = new Entry(await findPort(), await findPort());
    await entry.#server.open();
    await entry.#way.open(entry.#wayPort);
    return entry;
  }

  /** Starts a call; the function returned withdraws it. */
  start(requestId: string, patienceMs: number, bodyBytes = 0): () => void {
    const arrivedAtMs = performance.now();
    const deadlineMs = arrivedAtMs + patienceMs;
    const body = new Uint8Array(bodyBytes);
    const request = createEntryRequest({
      requestId,
      arrivedAtMs,
      deadlineMs,
      body,
    });
    return this.calls.start(request, "warehouse", () => {});
  }

  /** Lets the link open; the calls that come, once `lastId` is among them. */
  async letOpen(lastId: string): Promise<readonly CallOpened[]> {
    this.#way.release();
    const list = () => this.received.filter((f) => f.type === "CallOpened");
    while (!list().some(({ requestId }) => requestId === lastId)) {
      await sleep(5);
    }
    return list();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#client[Symbol.asyncDispose]();
    await this.#way[Symbol.asyncDispose]();
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
    const calls = await entry.letOpen("stays");
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
    const [call] = await entry.letOpen("waits");
    // The other node's clock stands at 0, so this is the time left on the wire.
    expect(call!.deadlineMs).to.be.at.most(5_000 - HELD_MS);
  });
});
