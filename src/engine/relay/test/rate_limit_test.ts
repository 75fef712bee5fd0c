/** A gate whose backend server names a limit on its request rate. */
import { expect } from "chai";
import fc from "fast-check";
import type { BackendNotice } from "../../mesh/common/frames.ts";
import { reduceGate } from "../common/gate.ts";
import type { GateEffect, GateEvent } from "../common/gate.ts";
import {
  computeRetryAfterMs,
  createGate,
  createLoadFigures,
} from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import { createBackend } from "./gate_fakes.ts";

const BACKEND = { ...createBackend(1), slots: 24 };
const TICK_MS = 20;
/** What the rule on limits allows in a window. */
const WINDOW_MS = 4_000;
const ALLOWED_RATIO = 1.5;
const ALLOWED_SLACK = 5;

function createNotice(
  requestsPerSecond: number | undefined,
  saidAtMs = 0,
): BackendNotice {
  const instance = BACKEND.instanceId;
  return { instance, requestsPerSecond, isLeaving: false, saidAtMs };
}

/** Drives a gate, and records when calls were handed over. */
class Gate {
  nowMs = 0;
  readonly ranAtMs: number[] = [];
  readonly refused: string[] = [];
  #state: GateState = createGate();
  #nextId = 1;

  get state(): GateState {
    return this.#state;
  }

  /** Starts a process that knows of no limit. */
  restart(): void {
    this.#state = createGate();
    this.step({ type: "BackendChanged", backend: BACKEND });
  }

  step(event: GateEvent): readonly GateEffect[] {
    const effects = reduceGate(this.#state, event, this.nowMs);
    for (const effect of effects) {
      if (effect.type === "RunCall") {
        this.ranAtMs.push(this.nowMs);
        this.step({
          type: "CallEnded",
          id: effect.id,
          route: "lookup",
          serviceMs: 8,
          isLost: false,
          isRejected: false,
          wasSent: true,
        });
      } else if (effect.type === "RefuseCall") {
        this.refused.push(effect.reason);
      }
    }
    return effects;
  }

  /** Tells the gate what an entry knows of the backend server. */
  tell(notice: BackendNotice): void {
    this.step({ type: "NoticeTold", notice, source: {} });
  }

  arrive(isNested = false): void {
    this.step({
      type: "CallArrived",
      call: {
        id: this.#nextId++,
        route: "lookup",
        rank: 0,
        isNested,
        arrivedAtMs: this.nowMs,
        dueAtMs: this.nowMs + 500,
        deadlineMs: this.nowMs + 2_000,
      },
    });
  }

  pass(lengthMs: number, callsPerTick = 0): void {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      for (let n = 0; n < callsPerTick; n += 1) {
        this.arrive();
      }
      this.step({ type: "Ticked" });
    }
  }

  /** Counts the calls of the window in which most were handed over. */
  countInWorstWindow(): number {
    const counts = this.ranAtMs.map((endMs) =>
      this.ranAtMs.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs)
        .length
    );
    return Math.max(0, ...counts);
  }
}

describe("a gate under a rate limit", () => {
  // Guards against bursts beyond the limit behind restarts and freezes.
  it("keeps it over any load, restarts and freezes", () => {
    const step = fc.record({
      kind: fc.constantFrom("load", "idle", "freeze", "restart"),
      lengthMs: fc.integer({ min: 20, max: 3_000 }),
    });
    const limits = fc.constantFrom(0, 0.5, 7.1, 12.5, 200);
    const plays = fc.array(step, { minLength: 1, maxLength: 10 });
    fc.assert(
      fc.property(limits, plays, (limit, steps) => {
        const gate = new Gate();
        gate.restart();
        gate.tell(createNotice(limit));
        for (const { kind, lengthMs } of steps) {
          if (kind === "freeze") {
            gate.nowMs += lengthMs;
          } else if (kind === "restart") {
            gate.restart();
            gate.tell(createNotice(limit));
          } else {
            gate.pass(lengthMs, kind === "load" ? 5 : 0);
          }
        }
        const allowed = ALLOWED_RATIO * limit * WINDOW_MS / 1_000 +
          ALLOWED_SLACK;
        expect(gate.countInWorstWindow()).to.be.at.most(allowed);
      }),
      { numRuns: 60 },
    );
  });

  it("hands over as many calls as the limit allows", () => {
    const gate = new Gate();
    gate.restart();
    gate.tell(createNotice(12.5));
    gate.pass(8_000, 1);
    expect(gate.ranAtMs.length).to.be.within(98, 102);
    expect(new Set(gate.refused)).to.deep.equal(new Set(["rate_limit"]));
  });

  it("sends a few calls to a server that takes none, to learn that it does", () => {
    const gate = new Gate();
    gate.restart();
    gate.tell(createNotice(0));
    gate.pass(10_000, 1);
    expect(gate.ranAtMs.length).to.be.within(4, 5);
  });

  it("refuses root requests whose turn comes too late, and lets calls of runs wait", () => {
    const gate = new Gate();
    gate.restart();
    gate.tell(createNotice(1));
    gate.arrive();
    expect(gate.refused).to.deep.equal(["rate_limit"]);
    expect(computeRetryAfterMs(gate.state, gate.nowMs)).to.equal(1_000);
    gate.arrive(true);
    expect(gate.refused).to.have.length(1);
    gate.pass(1_100);
    expect(gate.ranAtMs).to.have.length(1);
  });

  // Guards against a limit that is pushed out by those of former instances.
  it("keeps it however many other instances it is told of", () => {
    const gate = new Gate();
    gate.restart();
    gate.tell(createNotice(1));
    for (let n = 0; n < 20; n += 1) {
      gate.tell({ ...createNotice(5), instance: `former-${n}` });
    }
    expect(gate.state.bucket?.requestsPerSecond).to.equal(1);
    expect(createLoadFigures(gate.state).notice?.requestsPerSecond).to.equal(1);
  });

  it("gives the oldest runs their turns first", () => {
    const gate = createGate();
    reduceGate(gate, { type: "BackendChanged", backend: BACKEND }, 0);
    const told = { type: "NoticeTold", source: {} } as const;
    reduceGate(gate, { ...told, notice: createNotice(2) }, 0);
    const common = { route: "lookup", rank: 0, arrivedAtMs: 0 };
    const deadlines = [2_000, 1_200, 1_700];
    deadlines.forEach((deadlineMs, id) => {
      const nested = { ...common, isNested: true, dueAtMs: 500 };
      const call = { ...nested, id, deadlineMs };
      reduceGate(gate, { type: "CallArrived", call }, 0);
    });
    expect(gate.queue.map(({ id }) => id)).to.deep.equal([1, 2, 0]);
    const root = { ...common, isNested: false, dueAtMs: 800 };
    const call = { ...root, id: 3, deadlineMs: 2_000 };
    reduceGate(gate, { type: "CallArrived", call }, 0);
    expect(gate.queue.map(({ id }) => id)).to.deep.equal([1, 2, 0]);
  });

  it("counts all calls alike, whatever their routes take", () => {
    const gate = new Gate();
    gate.restart();
    gate.step({
      type: "CallEnded",
      id: 0,
      route: "slow",
      serviceMs: 800,
      isLost: false,
      isRejected: false,
      wasSent: true,
    });
    gate.tell(createNotice(12.5));
    gate.pass(2_000, 1);
    // Four times what the limit allows, although runs take 8 ms.
    expect(createLoadFigures(gate.state).pressure).to.be.above(0.5);
  });

  it("gets its token back for a call of which no byte was sent", () => {
    const gate = createGate();
    reduceGate(gate, { type: "BackendChanged", backend: BACKEND }, 0);
    const told = { type: "NoticeTold", source: {} } as const;
    reduceGate(gate, { ...told, notice: createNotice(1) }, 0);
    const call = {
      id: 1,
      route: "lookup",
      rank: 0,
      isNested: false,
      arrivedAtMs: 2_000,
      dueAtMs: 3_000,
      deadlineMs: 3_000,
    };
    reduceGate(gate, { type: "CallArrived", call }, 2_000);
    expect(gate.bucket?.tokens).to.equal(0);
    const neverHeld = {
      type: "CallEnded",
      id: 2,
      route: "lookup",
      serviceMs: undefined,
      isLost: false,
      isRejected: false,
      wasSent: false,
    } as const;
    reduceGate(gate, neverHeld, 2_000);
    expect(gate.bucket?.tokens).to.equal(0);
    reduceGate(gate, { ...neverHeld, id: 1 }, 2_000);
    expect(gate.bucket?.tokens).to.equal(1);
  });

  it("reports what the limit allows as its capacity", () => {
    const gate = new Gate();
    gate.restart();
    expect(createLoadFigures(gate.state).limit).to.equal(22);
    gate.tell(createNotice(12.5));
    expect(createLoadFigures(gate.state).limit).to.equal(0.25);
    gate.pass(4_000, 1);
    expect(createLoadFigures(gate.state).limit).to.be.closeTo(0.1, 0.01);
    expect(createLoadFigures(gate.state).pressure).to.be.above(0);
    gate.tell(createNotice(undefined, 1));
    expect(createLoadFigures(gate.state).limit).to.equal(22);
  });

  it("holds it for the process instance that named it alone", () => {
    const gate = new Gate();
    gate.restart();
    gate.tell(createNotice(1));
    gate.step({ type: "BackendChanged", backend: undefined });
    gate.step({ type: "BackendChanged", backend: BACKEND });
    expect(gate.state.bucket?.requestsPerSecond).to.equal(1);
    gate.step({ type: "BackendChanged", backend: undefined });
    const backend = { ...BACKEND, startedAtMs: 5 };
    const effects = gate.step({ type: "BackendChanged", backend });
    expect(gate.state.bucket).to.equal(undefined);
    expect(effects.map((effect) => "changes" in effect && effect.changes))
      .to.deep.equal([["forgotten"]]);
  });
});
