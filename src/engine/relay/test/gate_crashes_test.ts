/** The gate of a backend server that ends under its calls. */
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { CallFailed, MeshFrame } from "../../mesh/common/frames.ts";
import type { CrashKnowledge } from "../../quarantine/common/crash_knowledge.ts";
import type { SuspectOutcome } from "../common/suspect_refusal.ts";
import { GateCalls } from "../node/gate_calls.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";
import { createBackend, createCall, DIALECT, MEMORY } from "./gate_fakes.ts";

const SERVICE = "warehouse";
const SLOTS = 16;
/** More than the buffers between a gate and a server that doesn't read hold. */
const UNREAD_BODY_BYTES = 16_777_216;

/** A backend server whose connections a test answers, cuts and ends. */
class SocketBackend implements AsyncDisposable {
  readonly received: Socket[] = [];
  readonly #server: Server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => this.received.push(socket));
  });

  async open(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  async waitForRequests(count: number): Promise<void> {
    while (this.received.length < count) {
      await sleep(1);
    }
  }

  answer(index: number, status = "200 OK"): void {
    this.received[index]!.write(
      `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  end(): void {
    this.#server.close();
    this.received.forEach((socket) => socket.resetAndDestroy());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.received.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

interface OpenGate {
  readonly gate: GateCalls;
  readonly knowledge: CrashKnowledge;
  readonly frames: MeshFrame[];
  readonly outcomes: SuspectOutcome[];
  /** Sends a call of a target of its own. */
  readonly call: (number: number, target?: string) => void;
  readonly callWithBody: (number: number, body: Uint8Array) => void;
}

function openGate(port: number, connections = SLOTS): OpenGate {
  const knowledge = createCrashKnowledge();
  const outcomes: SuspectOutcome[] = [];
  const gate = new GateCalls({
    memory: MEMORY,
    dialect: DIALECT,
    getDrainTimes: () => undefined,
    readClock: () => 1_000,
    log: { write: () => {} },
    loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
    isRoomMeasured: () => false,
    isLeaf: () => true,
    maxConnections: () => connections,
    getObjectiveMs: () => 500,
    recordRun: () => {},
    recordArrival: () => {},
    recordLimitedCall: () => {},
    onBackendLeaving: () => {},
    onBackendLost: () => gate.changeBackend(undefined),
    ingress: "a:1",
    crashes: knowledge,
    countEnd: () => {},
    countSuspect: (_service, outcome) => outcomes.push(outcome),
    countProof: () => {},
  });
  gate.changeBackend({ ...createBackend(port), slots: SLOTS });
  const frames: MeshFrame[] = [];
  const call = (number: number, target = `/${number}`) =>
    gate.receive(
      "1",
      createCall(number, { target, isIdempotent: true }),
      (frame) => frames.push(frame),
    );
  const callWithBody = (number: number, body: Uint8Array) => {
    const change = { target: `/${number}`, bodyBytes: body.length, body };
    const opened = createCall(number, change);
    gate.receive("1", opened, (frame) => frames.push(frame));
  };
  return { gate, knowledge, frames, outcomes, call, callWithBody };
}

function listEnds(frames: readonly MeshFrame[]) {
  return frames.map((frame) => {
    const { call, kind, reason, ended } = frame as CallFailed;
    return { call, kind, reason, wasAlone: ended?.wasAlone };
  });
}

async function waitForFrames(
  frames: readonly MeshFrame[],
  count: number,
): Promise<void> {
  while (frames.length < count) {
    await sleep(1);
  }
}

/** Records an end for the request of a target. */
function recordEnd(
  knowledge: CrashKnowledge,
  targets: readonly string[],
  instance = "i-0",
  body = new Uint8Array(),
): void {
  const runs = targets.map((target) => ({
    request: {
      method: "POST",
      host: "",
      target,
      body,
      callerService: "",
    },
    isOnlySuspect: false,
  }));
  knowledge.recordEnd(SERVICE, instance, runs);
}

describe("a backend server that ends under its calls", () => {
  // Guards against an end that is taken for lost answers.
  it("is held against all calls that it ran", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    [1, 2].forEach((number) => call(number));
    await backend.waitForRequests(2);
    backend.end();
    await waitForFrames(frames, 2);
    const failure = { kind: "unknown", reason: "backend_ended" };
    expect(listEnds(frames)).to.deep.equal([
      { call: 1, ...failure, wasAlone: false },
      { call: 2, ...failure, wasAlone: false },
    ]);
    // Each request is recorded with and without its caller.
    expect(knowledge.countByVerdict(SERVICE))
      .to.include({ Suspect: 4, Quarantined: 0 });
  });

  // Guards against calls of unknown outcome that no backend server received.
  it("leaves a call that waits for a connection as not run", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, call } = openGate(await backend.open(), 1);
    await using _gate = gate;
    [1, 2].forEach((number) => call(number));
    await backend.waitForRequests(1);
    backend.end();
    await waitForFrames(frames, 2);
    const kinds = new Map(
      listEnds(frames).map(({ call, kind }) => [call, kind]),
    );
    expect([...kinds].sort()).to.deep.equal([[1, "unknown"], [2, "refused"]]);
  });

  it("is held against a call that it ran alone", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, call } = openGate(await backend.open());
    await using _gate = gate;
    call(1);
    await backend.waitForRequests(1);
    backend.end();
    await waitForFrames(frames, 1);
    expect(listEnds(frames)[0]).to.include({ wasAlone: true });
  });

  // Guards against a refusal to connect that is seen before broken connections.
  it("shows also if it is known to be lost by then", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, call } = openGate(await backend.open());
    await using _gate = gate;
    call(1);
    await backend.waitForRequests(1);
    backend.end();
    gate.changeBackend(undefined);
    await waitForFrames(frames, 1);
    expect(listEnds(frames)[0]).to.include({ reason: "backend_ended" });
  });

  const leaves: readonly (readonly [
    name: string,
    leave: (gate: GateCalls, port: number) => void,
  ])[] = [
    [
      "is draining",
      (gate, port) =>
        gate.changeBackend({ ...createBackend(port), isDraining: true }),
    ],
    ["has left", (gate) => gate.recordDeparture()],
  ];
  for (const [name, leave] of leaves) {
    // Guards against innocent requests that a planned stop quarantines.
    it(`is held against none if it ${name}`, async () => {
      await using backend = new SocketBackend();
      const port = await backend.open();
      const { gate, frames, knowledge, call } = openGate(port);
      await using _gate = gate;
      call(1);
      await backend.waitForRequests(1);
      leave(gate, port);
      backend.end();
      await waitForFrames(frames, 1);
      expect(knowledge.hasRecord(SERVICE)).to.equal(false);
    });
  }
});

describe("a connection that breaks while the backend server lives on", () => {
  // Guards against requests that are blamed for lost answers.
  it("is held against no request", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    [1, 2].forEach((number) => call(number));
    await backend.waitForRequests(2);
    backend.received[0]!.resetAndDestroy();
    await waitForFrames(frames, 1);
    backend.received[1]!.resetAndDestroy();
    await waitForFrames(frames, 2);
    expect(listEnds(frames).map(({ kind }) => kind))
      .to.deep.equal(["unknown", "unknown"]);
    expect(knowledge.hasRecord(SERVICE)).to.equal(false);
  });

  // Guards against an end that a busy process sees on one connection first, and
  // holds against the other calls only.
  it("is held against it if the others break soon after", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    [1, 2].forEach((number) => call(number));
    await backend.waitForRequests(2);
    backend.received[0]!.resetAndDestroy();
    await waitForFrames(frames, 1);
    backend.end();
    await waitForFrames(frames, 2);
    const [report] = knowledge.createReports();
    // Each of the two has a fingerprint with its caller and one without.
    expect(report!.evidence).to.have.length(4);
    expect(listEnds(frames)[1]).to.include({
      reason: "backend_ended",
      wasAlone: false,
    });
  });

  // Guards against an instance that starts again before it can be probed.
  it("is held against it if another instance shows up", async () => {
    await using backend = new SocketBackend();
    const port = await backend.open();
    const { gate, frames, knowledge, call } = openGate(port);
    await using _gate = gate;
    call(1);
    await backend.waitForRequests(1);
    backend.received[0]!.resetAndDestroy();
    await waitForFrames(frames, 1);
    expect(knowledge.hasRecord(SERVICE)).to.equal(false);
    gate.changeBackend({ ...createBackend(port), instanceId: "i-2" });
    expect(knowledge.hasRecord(SERVICE)).to.equal(true);
  });
});

describe("requests that may have ended a backend server", () => {
  // Guards against an end with several suspects, of which none is proved.
  it("run one after the other, beside others", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    recordEnd(knowledge, ["/1", "/2"]);
    [1, 2, 3].forEach((number) => call(number));
    await backend.waitForRequests(2);
    await sleep(20);
    expect(backend.received).to.have.length(2);
    backend.answer(0);
    await waitForFrames(frames, 1);
    await backend.waitForRequests(3);
  });

  // Guards against copies that wait although one of them was answered.
  it("run freely once one copy was answered", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    recordEnd(knowledge, ["/copy", "/other"]);
    [1, 2, 3, 4].forEach((number) => call(number, "/copy"));
    await backend.waitForRequests(1);
    backend.answer(0);
    await waitForFrames(frames, 1);
    await backend.waitForRequests(4);
  });

  // Guards against an answer at the deadline that clears the request.
  it("stay suspects if the backend server answers with an error", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    recordEnd(knowledge, ["/1", "/other"]);
    call(1);
    await backend.waitForRequests(1);
    backend.answer(0, "504 Gateway Timeout");
    await waitForFrames(frames, 1);
    expect(knowledge.countByVerdict(SERVICE)).to.include({ Suspect: 4 });
  });

  // Guards against a long body of which the backend server read a part.
  it("stay suspects if the answer comes before all was sent", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, callWithBody } = openGate(
      await backend.open(),
    );
    await using _gate = gate;
    const body = new Uint8Array(UNREAD_BODY_BYTES);
    recordEnd(knowledge, ["/1", "/other"], "i-0", body);
    callWithBody(1, body);
    await backend.waitForRequests(1);
    backend.received[0]!.pause();
    backend.answer(0);
    await waitForFrames(frames, 1);
    expect(knowledge.countByVerdict(SERVICE)).to.include({ Suspect: 4 });
  });

  // Guards against slots that waiting suspects take from all others.
  it("are refused once too many of them wait", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, outcomes, call } = openGate(
      await backend.open(),
    );
    await using _gate = gate;
    const numbers = [1, 2, 3, 4, 5, 6, 7];
    recordEnd(knowledge, numbers.map((number) => `/${number}`));
    numbers.forEach((number) => call(number));
    await waitForFrames(frames, 1);
    expect(frames).to.have.length(1);
    expect(frames[0]).to.include({
      kind: "refused",
      reason: "suspects_waiting",
      retryAfterMs: 1_000,
    });
    expect(outcomes).to.deep.equal([
      "run",
      ...Array<SuspectOutcome>(5).fill("waited"),
      "suspects_waiting",
    ]);
  });

  // Guards against an innocent suspect that an end proves guilty which a call
  // caused that began before it became suspect.
  it("aren't alone beside a call that became suspect while it ran", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    call(1, "/late");
    await backend.waitForRequests(1);
    recordEnd(knowledge, ["/late", "/2"]);
    call(2);
    await backend.waitForRequests(2);
    backend.end();
    await waitForFrames(frames, 2);
    expect(listEnds(frames).map(({ wasAlone }) => wasAlone))
      .to.deep.equal([false, false]);
  });

  it("are alone beside a copy and calls that are no suspects", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    call(1, "/copy");
    call(2);
    await backend.waitForRequests(2);
    recordEnd(knowledge, ["/copy", "/other"]);
    call(3, "/copy");
    await backend.waitForRequests(3);
    backend.end();
    await waitForFrames(frames, 3);
    const alone = listEnds(frames).filter(({ wasAlone }) => wasAlone);
    expect(alone.map(({ call }) => call)).to.deep.equal([3]);
  });

  it("are refused once they are proved guilty", async () => {
    await using backend = new SocketBackend();
    const { gate, frames, knowledge, call } = openGate(await backend.open());
    await using _gate = gate;
    ["i-0", "i-1"].forEach((instance) =>
      recordEnd(knowledge, ["/1"], instance)
    );
    call(1);
    await waitForFrames(frames, 1);
    expect(frames[0]).to.include({
      kind: "refused",
      reason: "quarantined",
      retryAfterMs: 600_000,
    });
    expect(backend.received).to.have.length(0);
  });
});
