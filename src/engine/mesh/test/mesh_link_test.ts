/** Links between two nodes, over loopback. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { findPort } from "../../../../standin/ports.ts";
import type { CallOpened, LoadReported, MeshFrame } from "../common/frames.ts";
import { MeshClient } from "../node/mesh_client.ts";
import { MeshServer } from "../node/mesh_server.ts";

/** No periodic reports: tests call `report`. */
const NEVER_MS = 3_600_000;
/** More than the time after which links without traffic are closed. */
const LONGER_THAN_IDLE_MS = 31_000;
const CALL: CallOpened = {
  type: "CallOpened",
  call: 1,
  requestId: "r",
  service: "back",
  method: "GET",
  target: "/",
  headers: [],
  deadlineMs: 0,
  rank: 0,
  route: "lookup",
  isIdempotent: true,
  isNested: false,
  repeatShare: 0,
  bodyBytes: 0,
  body: new Uint8Array(),
};
const LOAD = { running: 1, queued: 0, limit: 4, pressure: 0, serviceMs: 0 };

/** A server with one client; both collect the frames received. */
class Link implements AsyncDisposable {
  readonly atClient: MeshFrame[] = [];
  readonly atServer: MeshFrame[] = [];
  readonly lost: (readonly [string, boolean])[] = [];
  below: LoadReported["below"] = [];
  readonly address: string;
  /** Services that the client named, in order. */
  readonly introduced: string[] = [];
  readonly server: MeshServer;
  readonly client: MeshClient;
  /** How far the server's clock is ahead of the client's. */
  aheadMs = 0;
  /** How far the client's clock is ahead of the test's. */
  clientAheadMs = 0;

  constructor(port: number) {
    this.address = `127.0.0.1:${port}`;
    this.server = new MeshServer({
      maxBufferedBytes: 16_777_216,
      address: { host: "127.0.0.1", port },
      onFrames: (_link, frames) => {
        for (const frame of frames) {
          if (frame.type === "CallerIntroduced") {
            this.introduced.push(frame.service);
          } else {
            this.atServer.push(frame);
          }
        }
      },
      onClosed: () => {},
      hasCalls: () => true,
      reportIntervalMs: NEVER_MS,
      createReport: () => ({
        type: "LoadReported",
        load: LOAD,
        below: this.below,
        callers: [],
      }),
      readClock: () => performance.now() + this.aheadMs,
    });
    this.client = new MeshClient({
      onFrame: (_address, frame) => this.atClient.push(frame),
      onLost: (_address, reason, wasOpen) => this.lost.push([reason, wasOpen]),
      readClock: () => performance.now() + this.clientAheadMs,
      getService: () => "front",
      getNotice: () => undefined,
    });
  }

  static async open(): Promise<Link> {
    const link = new Link(await findPort());
    await link.server.open();
    link.client.open(link.address);
    return link;
  }

  countReports(): number {
    return this.atClient.filter(({ type }) => type === "LoadReported").length;
  }

  answer(): void {
    this.server.send(1, {
      type: "CallFailed",
      call: 1,
      kind: "refused",
      reason: "test",
      retryAfterMs: 0,
      load: LOAD,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.client[Symbol.asyncDispose]();
    await this.server[Symbol.asyncDispose]();
  }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await sleep(5);
  }
}

describe("a link between nodes", () => {
  it("is reported on while calls wait for their answers", async () => {
    await using link = await Link.open();
    await waitUntil(() => link.client.isOpen(link.address));
    link.server.report();
    link.server.report();
    await waitUntil(() => link.countReports() === 2);
  });

  it("needs no report after answers, which carry the load", async () => {
    await using link = await Link.open();
    await waitUntil(() => link.client.isOpen(link.address));
    link.answer();
    link.server.report();
    link.answer();
    await waitUntil(() => link.atClient.length === 2);
    expect(link.countReports()).to.equal(0);
    link.server.report();
    link.server.report();
    await waitUntil(() => link.countReports() === 1);
  });

  it("is reported on in spite of answers if there are downstream calls", async () => {
    await using link = await Link.open();
    await waitUntil(() => link.client.isOpen(link.address));
    link.below = [["lookup", 0.5, 20]];
    link.answer();
    link.server.report();
    await waitUntil(() => link.countReports() === 1);
    expect(link.atClient[1]).to.have.deep.property("below", link.below);
  });

  // Guards against a recall that is taken for a cancellation, which ends a run.
  it("tells a call that is recalled from one that is cancelled", async () => {
    await using link = await Link.open();
    link.client.recall(link.address, 7);
    expect(link.client.isOpening(link.address)).to.equal(true);
    await waitUntil(() => link.client.isOpen(link.address));
    expect(link.client.isOpening(link.address)).to.equal(false);
    link.client.recall(link.address, 1);
    link.client.withdraw(link.address, 2);
    await waitUntil(() => link.atServer.length === 2);
    expect(link.atServer).to.deep.equal([
      { type: "CallCancelled", call: 1, isRecall: true },
      { type: "CallCancelled", call: 2 },
    ]);
  });

  it("names the service of its callers first, and again after a change", async () => {
    await using link = await Link.open();
    await waitUntil(() => link.introduced.length === 1);
    link.client.introduce();
    await waitUntil(() => link.introduced.length === 2);
    expect(link.introduced).to.deep.equal(["front", "front"]);
  });

  it("reports whether it was ever open when it is lost", async () => {
    await using link = await Link.open();
    await waitUntil(() => link.client.isOpen(link.address));
    link.client.drop(link.address, "silent");
    expect(link.lost).to.deep.equal([["silent", true]]);
    const unusedAddress = `127.0.0.1:${await findPort()}`;
    link.client.open(unusedAddress);
    await waitUntil(() => link.lost.length === 2);
    expect(link.lost[1]![1]).to.equal(false);
  });

  // The answer was lost with the link if it took over 30 s and nothing else was
  // sent meanwhile.
  it("is not closed as idle while a call waits for its answer", async () => {
    await using link = await Link.open();
    link.client.send(link.address, CALL);
    await waitUntil(() => link.atServer.length === 1);
    link.clientAheadMs = LONGER_THAN_IDLE_MS;
    link.client.closeIdle(new Set([link.address]));
    expect(link.client.isOpen(link.address)).to.equal(true);
    link.answer();
    await waitUntil(() => link.atClient.length === 1);
    expect(link.lost).to.deep.equal([]);
    link.client.closeIdle(new Set());
    expect(link.client.isOpen(link.address)).to.equal(false);
  });

  it("computes deadlines from when a late message should have arrived", async () => {
    await using link = await Link.open();
    const send = (call: number) => {
      const deadlineMs = performance.now() + 130;
      const opened = { ...CALL, call, deadlineMs };
      link.client.send(link.address, opened);
      return deadlineMs;
    };
    await waitUntil(() => link.introduced.length === 1);
    link.aheadMs = 600;
    const deadlineMs = send(1);
    await waitUntil(() => link.atServer.length === 1);
    const [late] = link.atServer;
    const lateByMs = (late as CallOpened).deadlineMs - deadlineMs;
    expect(Math.abs(lateByMs), "difference to the caller's deadline, in ms").to
      .be.below(100);
  });

  it("carries frames in order, with unchanged bodies", async () => {
    await using link = await Link.open();
    const parts = [1, 2, 3].map((n) => new Uint8Array([n, 0, 255]));
    for (const bytes of parts) {
      link.client.send(link.address, { type: "BodyPart", call: 9, bytes });
    }
    await waitUntil(() => link.atServer.length === 3);
    const bodies = link.atServer.map((frame) =>
      frame.type === "BodyPart" ? [...frame.bytes] : []
    );
    expect(bodies).to.deep.equal(parts.map((part) => [...part]));
  });
});
