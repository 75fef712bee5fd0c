/** The gate of a backend server that loses answers, with places free. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { MeshFrame } from "../../mesh/common/frames.ts";
import { GateCalls } from "../node/gate_calls.ts";
import { createBackend, createCall, DIALECT } from "./gate_fakes.ts";

const SLOTS = 20;
/** Over half of the places, and far from all. */
const RUNNING = 13;
const WORK_MS = 20;
/** Each so many answers one is lost. */
const LOST_EVERY = 4;
const ROUNDS = 75;
const PATIENCE_MS = 5_000;

/** A backend server that ends its runs when it is told to. */
class HeldBackend implements AsyncDisposable {
  readonly #held: ServerResponse[] = [];
  readonly #server: Server;
  #ended = 0;

  constructor() {
    this.#server = createServer((_request, response) => {
      this.#held.push(response);
    });
  }

  async open(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  async waitRunning(count: number): Promise<void> {
    while (this.#held.length < count) {
      await sleep(1);
    }
  }

  endAll(): void {
    for (const response of this.#held.splice(0)) {
      if (++this.#ended % LOST_EVERY === 0) {
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

function openGate(port: number, readClock: () => number): GateCalls {
  const gate = new GateCalls({
    dialect: DIALECT,
    readClock,
    log: { write: () => {} },
    loop: { lagMs: 0, runOnceRead: (run) => run() },
    maxConnections: () => SLOTS,
    getObjectiveMs: () => PATIENCE_MS,
    recordRun: () => {},
    recordArrival: () => {},
    onBackendLost: () => {},
  });
  gate.changeBackend({ ...createBackend(port), slots: SLOTS });
  return gate;
}

describe("a backend server that loses answers and has places free", () => {
  // Guards callers against refusals for losses that are no overload.
  it("puts no pressure on callers", async () => {
    let nowMs = 1_000;
    let nextCall = 1;
    await using backend = new HeldBackend();
    await using gate = openGate(await backend.open(), () => nowMs);
    const run = () =>
      new Promise<MeshFrame["type"]>((resolve) => {
        const deadlineMs = nowMs + PATIENCE_MS;
        const call = createCall(nextCall++, { isIdempotent: true, deadlineMs });
        gate.receive("1", call, ({ type }) => resolve(type));
      });
    const ends = new Set<MeshFrame["type"]>();
    const pressures: number[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const calls = Array.from({ length: RUNNING }, run);
      await backend.waitRunning(RUNNING);
      nowMs += WORK_MS;
      gate.tick();
      pressures.push(gate.readLoad().pressure);
      backend.endAll();
      (await Promise.all(calls)).forEach((end) => ends.add(end));
    }
    expect([...ends].sort()).to.deep.equal(["AnswerOpened", "CallFailed"]);
    expect(Math.max(...pressures)).to.equal(0);
  });
});
