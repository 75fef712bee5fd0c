/** Calls at the gate, most of them of a backend server that never answers. */
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import type { MeshFrame } from "../../mesh/common/frames.ts";
import type { BackendRun } from "../common/repeated_runs.ts";
import { GateCalls } from "../node/gate_calls.ts";
import type { GateCallsOptions } from "../node/gate_options.ts";
import { computeDrainTimes } from "../common/drain_decision.ts";
import { DEFAULT_SERVICE_MS } from "../common/gate_state.ts";
import { createBackend, createCall } from "./gate_fakes.ts";
import { openGate } from "./open_gate.ts";

/** Opens a gate whose backend server listens at `port`. */
function openGateAt(
  port: number,
  options: Partial<GateCallsOptions> = {},
): GateCalls {
  const gate = openGate(options);
  gate.changeBackend(createBackend(port));
  return gate;
}

describe("large bodies at the gate", () => {
  it("are refused beyond its memory limit, and accepted once it is free", async () => {
    await using gate = openGateAt(9);
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    const bodyBytes = 30 * 1_048_576;
    for (let call = 1; call <= 3; call += 1) {
      gate.receive("1", createCall(call, { bodyBytes }), send);
    }
    expect(frames.map((frame) => "reason" in frame && frame.reason))
      .to.deep.equal(["memory", "memory"]);
    gate.handleLinkLoss("1");
    gate.receive("2", createCall(4, { bodyBytes }), send);
    expect(frames).to.have.length(2);
  });

  it("may be larger than that limit if there is no other", async () => {
    await using gate = openGateAt(9);
    const frames: MeshFrame[] = [];
    const bodyBytes = 64 * 1_048_576;
    gate.receive("1", createCall(1, { bodyBytes }), (frame) => {
      frames.push(frame);
    });
    expect(frames).to.deep.equal([]);
  });
});

describe("a backend server that never answers", () => {
  it("gets its place back after the deadline, also for a transfer", async () => {
    let markReceived = () => {};
    const received = new Promise<void>((resolve) => markReceived = resolve);
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", markReceived);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    let nowMs = 1_000;
    const runs: (readonly [string, number])[] = [];
    const gate = openGateAt(port, {
      readClock: () => nowMs,
      recordRun: ({ route }, change) => runs.push([route, change]),
    });
    const frames: MeshFrame[] = [];
    gate.receive("1", createCall(1, {}), (frame) => frames.push(frame));
    expect(gate.readLoad().running).to.equal(1);
    expect(runs).to.deep.equal([["transfer", 1]]);
    await received;
    gate.receive("1", { type: "CallCancelled", call: 1 }, () => {});
    expect(gate.readLoad().running, "a transfer runs on").to.equal(1);
    nowMs += 1_600;
    gate.tick();
    expect(gate.readLoad().running).to.equal(0);
    expect(runs).to.deep.equal([["transfer", 1], ["transfer", -1]]);
    expect(gate.openCount).to.equal(0);
    expect(frames.map(({ type }) => type)).to.deep.equal(["CallFailed"]);
    await gate[Symbol.asyncDispose]();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });
});

describe("calls that wait when a backend server of another service takes over", () => {
  // Guards against a service that is compared only when a call arrives.
  it("are refused, and not run by it", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    for (let call = 1; call <= 4; call += 1) {
      gate.receive("1", createCall(call, {}), send);
    }
    await server.received(1);
    const next = { ...createBackend(server.port, 2_000), service: "ledger" };
    gate.changeBackend({ ...next, instanceId: "i-2", slots: 50 });
    const failures = frames.filter((frame) => frame.type === "CallFailed");
    expect(failures.map(({ call, kind }) => `${call} ${kind}`))
      .to.have.members(["1 unknown", "2 refused", "3 refused", "4 refused"]);
    expect(failures.filter(({ reason }) => reason === "other_service"))
      .to.have.length(3);
    expect(gate.openCount).to.equal(0);
  });

  it("for a turn of the event loop are refused", async () => {
    await using server = await openSilentServer();
    const turns: (() => void)[] = [];
    await using gate = openGateAt(server.port, {
      loop: { lagMs: 0, runAfterPendingReads: (run) => turns.push(run) },
    });
    const frames: MeshFrame[] = [];
    gate.receive("1", createCall(1, {}), (frame) => frames.push(frame));
    const next = { ...createBackend(server.port, 2_000), service: "ledger" };
    gate.changeBackend({ ...next, instanceId: "i-2" });
    turns.splice(0).forEach((run) => run());
    expect(frames.map((frame) => "reason" in frame && frame.reason))
      .to.deep.equal(["other_service"]);
    expect(gate.readLoad().running).to.equal(0);
  });

  // Guards against callers that send a whole body before they are refused.
  it("are refused at once while their bodies arrive", async () => {
    await using gate = openGateAt(9);
    const frames: MeshFrame[] = [];
    const incomplete = createCall(1, { bodyBytes: 4_000 });
    gate.receive("1", incomplete, (frame) => frames.push(frame));
    const next = { ...createBackend(9, 2_000), service: "ledger" };
    gate.changeBackend({ ...next, instanceId: "i-2" });
    expect(frames.map((frame) => "reason" in frame && frame.reason))
      .to.deep.equal(["other_service"]);
    expect(gate.openCount).to.equal(0);
  });
});

describe("calls of one message", () => {
  it("are handed over only once all of its frames are read", async () => {
    const runs: string[] = [];
    const recordRun = ({ route }: BackendRun) => runs.push(route);
    await using gate = openGateAt(9, { recordRun });
    const left = createCall(1, { route: "left" });
    const kept = createCall(2, { route: "kept" });
    const cancelled = { type: "CallCancelled", call: 1 } as const;
    gate.receiveAll("1", [left, kept, cancelled], { send: () => {} });
    expect(runs).to.deep.equal(["kept"]);
    expect(gate.openCount).to.equal(1);
  });
});

describe("a call that was late on its way", () => {
  it("is refused where its caller has left by now", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    const late = createCall(1, { deadlineMs: 1_000 - 600 + 130 });
    gate.receive("1", late, send, 600);
    expect(gate.readLoad().running).to.equal(0);
    expect(frames.map((frame) => "reason" in frame && frame.reason))
      .to.deep.equal(["deadline"]);
    const usual = createCall(2, { deadlineMs: 1_000 - 20 + 130 });
    gate.receive("1", usual, send, 20);
    expect(gate.readLoad().running).to.equal(1);
  });
});

describe("a backend server that starts again under its id", () => {
  it("leaves what ran before unknown, and runs what waits", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    gate.changeBackend(createBackend(server.port, 1_000));
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    gate.receive("1", createCall(1, {}), send);
    gate.receive("1", createCall(2, {}), send);
    gate.changeBackend(createBackend(server.port, 1_000));
    expect(frames).to.have.length(0);
    gate.changeBackend(createBackend(server.port, 2_000));
    expect(frames.map((frame) => "kind" in frame && frame.kind))
      .to.deep.equal(["unknown"]);
    expect(gate.readLoad()).to.include({ running: 1, queued: 0 });
  });

  it("is recognized as restarted even if it was silent in between", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    gate.changeBackend(createBackend(server.port, 1_000));
    const frames: MeshFrame[] = [];
    gate.receive("1", createCall(1, {}), (frame) => frames.push(frame));
    gate.changeBackend(undefined);
    expect(frames).to.have.length(0);
    gate.changeBackend(createBackend(server.port, 2_000));
    expect(frames).to.have.length(1);
  });
});

describe("a call at a gate whose node drains", () => {
  const DRAIN_MS = 2_000;
  /** Calls that the gate runs at a time after its start. */
  const RUNNING = 1;

  function listFailures(frames: readonly MeshFrame[]) {
    return frames.flatMap((frame) =>
      frame.type === "CallFailed"
        ? [`${frame.call} ${frame.kind} ${frame.reason}`]
        : []
    );
  }

  // Guards against a run that the end of the process cuts.
  it("is refused if its time limit is later than the end of the node", async () => {
    await using server = await openSilentServer();
    const times = computeDrainTimes(1_000, DRAIN_MS);
    let nowMs = 1_000;
    await using gate = openGateAt(server.port, {
      readClock: () => nowMs,
      getDrainTimes: () => times,
    });
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    nowMs = times.lastStartMs;
    gate.receive("1", createCall(1, { deadlineMs: times.endMs + 1 }), send);
    expect(frames).to.deep.equal([]);
    nowMs += 1;
    gate.receive("1", createCall(2, { deadlineMs: times.endMs + 1 }), send);
    expect(listFailures(frames)).to.deep.equal(["2 refused draining"]);
    gate.receive("1", createCall(3, { deadlineMs: times.refuseAtMs }), send);
    expect(listFailures(frames)).to.have.length(1);
    expect(gate.readLoad()).to.include({ running: RUNNING, queued: 1 });
  });

  // Guards against calls that wait until the process ends, and are cut then.
  it("is refused at the end if it was not handed over", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    for (let call = 1; call <= RUNNING + 2; call += 1) {
      gate.receive("1", createCall(call, {}), send);
    }
    expect(gate.readLoad()).to.include({ running: RUNNING, queued: 2 });
    await server.received(RUNNING);
    gate.refuseWaiting();
    expect(listFailures(frames))
      .to.deep.equal(["2 refused draining", "3 refused draining"]);
    expect(gate.readLoad()).to.include({ running: RUNNING, queued: 0 });
  });

  // Guards against a refusal of a call that runs.
  it("is refused when recalled if it was not handed over", async () => {
    await using server = await openSilentServer();
    await using gate = openGateAt(server.port);
    const frames: MeshFrame[] = [];
    const send = (frame: MeshFrame) => frames.push(frame);
    const recall = (call: number) =>
      gate.receive("1", { type: "CallCancelled", call, isRecall: true }, send);
    const idempotent = { isIdempotent: true };
    for (let call = 1; call <= RUNNING + 1; call += 1) {
      gate.receive("1", createCall(call, idempotent), send);
    }
    await server.received(RUNNING);
    recall(1);
    recall(RUNNING + 1);
    expect(listFailures(frames)).to.deep.equal(["2 refused recalled"]);
    expect(gate.readLoad()).to.include({ running: RUNNING, queued: 0 });
  });
});

/** Opens a server that accepts connections and never answers. */
async function openSilentServer(): Promise<
  AsyncDisposable & {
    readonly port: number;
    /** Resolves when bytes were received on a number of connections. */
    readonly received: (count: number) => Promise<void>;
  }
> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.resume();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as AddressInfo).port,
    async received(count) {
      const isMet = () =>
        [...sockets].filter(({ bytesRead }) => bytesRead > 0).length >= count;
      while (!isMet()) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
    async [Symbol.asyncDispose]() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

describe("an answer that waited while the node was suspended", () => {
  // Guards against a gate whose measured times ignore the lag of its event loop.
  it("doesn't count as that slow", async () => {
    let nowMs = 1_000;
    const loop = {
      lagMs: 0,
      runAfterPendingReads: (run: () => void) => run(),
    };
    const server = createHttpServer((request, response) => {
      request.resume();
      nowMs = 6_000;
      loop.lagMs = 4_990;
      response.writeHead(200, { "Content-Length": 0 }).end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    await using gate = openGateAt(port, { loop, readClock: () => nowMs });
    const call = createCall(1, { deadlineMs: 10_000 });
    await new Promise<void>((resolve) =>
      gate.receive("1", call, () => resolve())
    );
    server.closeAllConnections();
    server.close();
    expect(gate.readLoad().serviceMs).to.equal(DEFAULT_SERVICE_MS);
  });
});
