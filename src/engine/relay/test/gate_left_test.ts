/**
 * Calls that wait for a connection to the backend server once the gate has
 * admitted them. A transfer whose caller left meanwhile was sent on all the
 * same, and any call was sent after its deadline: both were looked at when the
 * gate admitted them, and not again before their bytes left; a transfer that
 * had a place counted as one that may have begun. What settled it: with one
 * connection and two places both requests came to the backend server, one of
 * them 70 ms after its deadline.
 */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { MeshFrame } from "../../mesh/common/frames.ts";
import { GateCalls } from "../node/gate_calls.ts";
import { createBackend, createCall, DIALECT } from "./gate_fakes.ts";

const SETTLE_MS = 100;
/** More than connections: a call with a place may wait for one. */
const SLOTS = 8;

/** A backend server that answers when it is told to. */
class HeldBackend implements AsyncDisposable {
  readonly seen: string[] = [];
  readonly #open: ServerResponse[] = [];
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      this.seen.push(request.url!);
      this.#open.push(response);
    });
  }

  async open(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  answerAll(): void {
    this.#open.splice(0).forEach((response) => response.end("done"));
  }

  async waitForRequests(count: number): Promise<void> {
    while (this.seen.length < count) {
      await sleep(5);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** A gate with one connection, taken by a first call. */
class BusyGate implements AsyncDisposable {
  nowMs = 1_000;
  readonly frames: MeshFrame[] = [];
  readonly backend = new HeldBackend();
  readonly gate = new GateCalls({
    dialect: DIALECT,
    readClock: () => this.nowMs,
    log: { write: () => {} },
    loop: { lagMs: 0, runOnceRead: (run) => run() },
    maxConnections: () => 1,
    getObjectiveMs: () => 500,
    recordRun: () => {},
    recordArrival: () => {},
    onBackendLost: () => {},
  });

  static async open(): Promise<BusyGate> {
    const busy = new BusyGate();
    const backend = createBackend(await busy.backend.open());
    busy.gate.changeBackend({ ...backend, slots: SLOTS });
    busy.take(1, { target: "/first" });
    await busy.backend.waitForRequests(1);
    return busy;
  }

  take(call: number, change: Parameters<typeof createCall>[1]): void {
    const opened = createCall(call, { deadlineMs: 9_000, ...change });
    this.gate.receive("1", opened, (frame) => this.frames.push(frame));
  }

  cancel(call: number): void {
    this.gate.receive("1", { type: "CallCancelled", call }, () => {});
  }

  /** Ends the first call, so that the connection is free. */
  async free(): Promise<void> {
    this.backend.answerAll();
    await sleep(SETTLE_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.gate[Symbol.asyncDispose]();
    await this.backend[Symbol.asyncDispose]();
  }
}

describe("a call that waits for a connection", () => {
  for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? "lookup" : "transfer";
    it(`is sent no more once its caller has left: a ${kind}`, async () => {
      await using busy = await BusyGate.open();
      busy.take(2, { target: "/left", isIdempotent });
      busy.cancel(2);
      await busy.free();
      expect(busy.backend.seen).to.deep.equal(["/first"]);
      expect(busy.gate.openCount).to.equal(0);
    });
  }

  it("is refused as not run once its deadline has passed", async () => {
    await using busy = await BusyGate.open();
    busy.take(2, { target: "/late", deadlineMs: 1_130, isIdempotent: false });
    busy.nowMs += 200;
    await busy.free();
    while (busy.frames.length < 2) {
      await sleep(5);
    }
    expect(busy.backend.seen).to.deep.equal(["/first"]);
    const failed = busy.frames.filter(({ type }) => type === "CallFailed");
    expect(failed).to.have.length(1);
    expect(failed[0]).to.include({ kind: "refused", reason: "deadline" });
  });

  it("is sent where its caller stays", async () => {
    await using busy = await BusyGate.open();
    busy.take(2, { target: "/stays" });
    await busy.free();
    await busy.backend.waitForRequests(2);
    expect(busy.backend.seen).to.deep.equal(["/first", "/stays"]);
  });
});
