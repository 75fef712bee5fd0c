/** The gate of a backend server that loses answers, with places free. */
import { createServer } from "node:http";
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
const LENGTH_MS = 1_500;
const TICK_MS = 20;
const PATIENCE_MS = 5_000;

function openGate(port: number): GateCalls {
  const gate = new GateCalls({
    dialect: DIALECT,
    readClock: () => performance.now(),
    log: { write: () => {} },
    loop: { lagMs: 0, runOnceRead: (run) => run() },
    maxConnections: () => SLOTS,
    getObjectiveMs: () => PATIENCE_MS,
    noteRun: () => {},
    noteArrival: () => {},
    onBackendLost: () => {},
  });
  gate.changeBackend({ ...createBackend(port), slots: SLOTS });
  return gate;
}

/** Sends a call through the gate; how it ended. */
function run(gate: GateCalls, call: number): Promise<MeshFrame["type"]> {
  const opened = createCall(call, {
    isIdempotent: true,
    deadlineMs: performance.now() + PATIENCE_MS,
  });
  return new Promise((resolve) =>
    gate.receive("1", opened, ({ type }) => resolve(type))
  );
}

describe("a backend server that loses answers and has places free", () => {
  // Guards callers against refusals for losses that are no overload.
  it("puts no pressure on callers", async () => {
    let requests = 0;
    const server = createServer((_request, response) => {
      const isLost = ++requests % LOST_EVERY === 0;
      setTimeout(
        () => isLost ? response.destroy() : response.end("answer"),
        WORK_MS,
      );
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const gate = openGate((server.address() as AddressInfo).port);
    const pressures: number[] = [];
    const tick = setInterval(() => {
      gate.tick();
      pressures.push(gate.readLoad().pressure);
    }, TICK_MS);
    const ends: MeshFrame["type"][] = [];
    const endMs = performance.now() + LENGTH_MS;
    let nextCall = 1;
    await Promise.all(Array.from({ length: RUNNING }, async () => {
      while (performance.now() < endMs) {
        ends.push(await run(gate, nextCall++));
        await sleep(1);
      }
    }));
    clearInterval(tick);
    await gate[Symbol.asyncDispose]();
    server.closeAllConnections();
    await new Promise<void>((resolve) => server.close(() => resolve()));
    expect(ends).to.include("CallFailed").and.to.include("AnswerOpened");
    expect(Math.max(...pressures)).to.equal(0);
  });
});
