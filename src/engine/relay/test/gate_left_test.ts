/**
 * Calls that were admitted by the gate and wait for a connection to the backend
 * server. The caller and the deadline must be checked again before a call's
 * first byte is sent, and a transfer that only occupies a slot must not count
 * as begun. Otherwise a transfer is sent although its caller has left, and any
 * call after its deadline: with one connection and two slots, both requests
 * reached the backend server, one of them 70 ms after its deadline.
 */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { MeshFrame } from "../../mesh/common/frames.ts";
import { createBackend, createCall } from "./gate_fakes.ts";
import { openGate } from "./open_gate.ts";

/** Time in which a request that is sent in error would arrive. */
const SETTLE_MS = 100;
/** More than the connections: an admitted call may wait for a connection. */
const SLOTS = 8;

/** A backend server that answers only when `answerAll` is called. */
class ManualBackend implements AsyncDisposable {
  /** Targets of the requests received, in order. */
  readonly received: string[] = [];
  readonly #pending: ServerResponse[] = [];
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      this.received.push(request.url!);
      this.#pending.push(response);
    });
  }

  async open(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  answerAll(): void {
    this.#pending.splice(0).forEach((response) => response.end("done"));
  }

  async waitForRequests(count: number): Promise<void> {
    while (this.received.length < count) {
      await sleep(5);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** A gate whose single connection is in use by a first call. */
class BusyGate implements AsyncDisposable {
  nowMs = 1_000;
  readonly frames: MeshFrame[] = [];
  readonly backend = new ManualBackend();
  readonly gate = openGate({
    readClock: () => this.nowMs,
    maxConnections: () => 1,
  });

  static async open(): Promise<BusyGate> {
    const busy = new BusyGate();
    const backend = createBackend(await busy.backend.open());
    busy.gate.changeBackend({ ...backend, slots: SLOTS });
    busy.receive(1, { target: "/first" });
    await busy.backend.waitForRequests(1);
    return busy;
  }

  /** Receives a call on the link. */
  receive(call: number, change: Parameters<typeof createCall>[1]): void {
    const opened = createCall(call, { deadlineMs: 9_000, ...change });
    this.gate.receive("1", opened, (frame) => this.frames.push(frame));
  }

  cancel(call: number): void {
    this.gate.receive("1", { type: "CallCancelled", call }, () => {});
  }

  /** Ends the first call, which frees the connection. */
  async freeConnection(): Promise<void> {
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
      busy.receive(2, { target: "/left", isIdempotent });
      busy.cancel(2);
      await busy.freeConnection();
      expect(busy.backend.received).to.deep.equal(["/first"]);
      expect(busy.gate.openCount).to.equal(0);
    });
  }

  it("is refused as not run once its deadline has passed", async () => {
    await using busy = await BusyGate.open();
    busy.receive(2, {
      target: "/late",
      deadlineMs: 1_130,
      isIdempotent: false,
    });
    busy.nowMs += 200;
    await busy.freeConnection();
    while (busy.frames.length < 2) {
      await sleep(5);
    }
    expect(busy.backend.received).to.deep.equal(["/first"]);
    const failed = busy.frames.filter(({ type }) => type === "CallFailed");
    expect(failed).to.have.length(1);
    expect(failed[0]).to.include({ kind: "refused", reason: "deadline" });
  });

  it("is sent if its caller stays", async () => {
    await using busy = await BusyGate.open();
    busy.receive(2, { target: "/stays" });
    await busy.freeConnection();
    await busy.backend.waitForRequests(2);
    expect(busy.backend.received).to.deep.equal(["/first", "/stays"]);
  });
});
