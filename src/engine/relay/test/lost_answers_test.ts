/** The gate of a backend server that loses answers and has free slots. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { MeshFrame } from "../../mesh/common/frames.ts";
import type { GateCalls } from "../node/gate_calls.ts";
import { createBackend, createCall } from "./gate_fakes.ts";
import { openGate } from "./open_gate.ts";

const SLOTS = 20;
/** More than half of the slots, and far from all. */
const CONCURRENT_CALLS = 13;
const RUN_MS = 20;
/** Of this number of answers one is lost. */
const ANSWERS_PER_LOSS = 4;
const ROUNDS = 75;
const CALL_TIMEOUT_MS = 5_000;

/** A backend server that ends its runs only when `endAll` is called. */
class ManualBackend implements AsyncDisposable {
  readonly #pending: ServerResponse[] = [];
  readonly #server: Server;
  #endedCount = 0;

  constructor() {
    this.#server = createServer((_request, response) => {
      this.#pending.push(response);
    });
  }

  async open(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  async waitForRuns(count: number): Promise<void> {
    while (this.#pending.length < count) {
      await sleep(1);
    }
  }

  endAll(): void {
    for (const response of this.#pending.splice(0)) {
      if (++this.#endedCount % ANSWERS_PER_LOSS === 0) {
        response.destroy();
      } else {
        response.end("answer");
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

function openGateAt(port: number, readClock: () => number): GateCalls {
  const gate = openGate({
    readClock,
    maxConnections: () => SLOTS,
    getObjectiveMs: () => CALL_TIMEOUT_MS,
  });
  gate.changeBackend({ ...createBackend(port), slots: SLOTS });
  return gate;
}

describe("a backend server that loses answers and has places free", () => {
  // Lost answers are no overload: callers must not be refused because of them.
  it("puts no pressure on callers", async () => {
    let nowMs = 1_000;
    let nextCall = 1;
    await using backend = new ManualBackend();
    await using gate = openGateAt(await backend.open(), () => nowMs);
    const run = () =>
      new Promise<MeshFrame["type"]>((resolve) => {
        const deadlineMs = nowMs + CALL_TIMEOUT_MS;
        const call = createCall(nextCall++, { isIdempotent: true, deadlineMs });
        gate.receive("1", call, ({ type }) => resolve(type));
      });
    const resultTypes = new Set<MeshFrame["type"]>();
    const pressures: number[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const calls = Array.from({ length: CONCURRENT_CALLS }, run);
      await backend.waitForRuns(CONCURRENT_CALLS);
      nowMs += RUN_MS;
      gate.tick();
      pressures.push(gate.readLoad().pressure);
      backend.endAll();
      (await Promise.all(calls)).forEach((end) => resultTypes.add(end));
    }
    expect([...resultTypes].sort()).to.deep.equal([
      "AnswerOpened",
      "CallFailed",
    ]);
    expect(Math.max(...pressures)).to.equal(0);
  });
});
