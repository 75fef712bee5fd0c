/**
 * Guards against requests that are refused because of a gate with idle slots.
 *
 * While a service downstream is overloaded, runs that wait for it occupy all
 * slots of a service that calls it, and many of these runs fail. The failures
 * and the long runs raise the pressure of that gate to its upper bound. Unless
 * idle slots lower it faster, it then falls by 0.36 a second at most. A second
 * after the service downstream had recovered, 24 such gates logged
 *     GateUnderPressure limit=58 meanRunning=25.66 pressure=0.87 lostShare=0.18
 * and refused 740 of the most urgent requests.
 */
import { expect } from "chai";
import { reduceGate } from "../common/gate.ts";
import type { GateEffect, GateEvent } from "../common/gate.ts";
import { createGate, createLoadFigures } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";

const TICK_MS = 20;
const SLOTS = 60;
/** Calls that arrive in each tick: the slots suffice for runs of 300 ms. */
const CALLS_PER_TICK = 2;
/** Length of a run while the service downstream is overloaded. */
const SLOW_RUN_MS = 1_500;
const USUAL_RUN_MS = 100;
const DEADLINE_MS = 2_000;
const SLOW_UNTIL_MS = 4_000;
/** Recovery time of one gate: part of the 2 s that the whole system has. */
const RELEASE_MS = 500;
const END_MS = 9_000;

/** Load of the gate after one tick. */
interface Sample {
  readonly nowMs: number;
  readonly running: number;
  readonly pressure: number;
}

/** Plays calls on a gate; half of the slow runs end without an answer. */
class GateSimulation {
  readonly samples: Sample[] = [];
  readonly #gate: GateState = createGate();
  readonly #pendingEnds: { readonly id: number; readonly atMs: number }[] = [];
  readonly #startedAtMs = new Map<number, number>();
  #nowMs = 0;
  #nextId = 1;

  play(): void {
    this.#step({
      type: "BackendChanged",
      backend: {
        instanceId: "i-1",
        startedAtMs: undefined,
        service: "ledger",
        address: { ip: "127.0.0.1", port: 1 },
        dataCentre: "a",
        slots: SLOTS,
        isDraining: false,
        warmUntilMs: 0,
      },
    });
    while (this.#nowMs < END_MS) {
      this.#nowMs += TICK_MS;
      this.#endDue();
      for (let i = 0; i < CALLS_PER_TICK; i += 1) {
        this.#arrive();
      }
      this.#step({ type: "Ticked" });
      const { running, pressure } = createLoadFigures(this.#gate);
      this.samples.push({ nowMs: this.#nowMs, running, pressure });
    }
  }

  #arrive(): void {
    const nowMs = this.#nowMs;
    const call = {
      id: this.#nextId++,
      route: "check",
      rank: 0,
      isNested: true,
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + DEADLINE_MS,
      deadlineMs: nowMs + DEADLINE_MS,
    };
    this.#step({ type: "CallArrived", call });
  }

  #endDue(): void {
    while ((this.#pendingEnds[0]?.atMs ?? Infinity) <= this.#nowMs) {
      const { id, atMs } = this.#pendingEnds.shift()!;
      const serviceMs = atMs - this.#startedAtMs.get(id)!;
      const isLost = serviceMs === SLOW_RUN_MS && id % 2 === 0;
      this.#step({
        type: "CallEnded",
        id,
        route: "check",
        serviceMs: isLost ? undefined : serviceMs,
        isLost,
        isRejected: false,
        wasSent: true,
      });
    }
  }

  #step(event: GateEvent): void {
    const effects = reduceGate(this.#gate, event, this.#nowMs);
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GateEffect): void {
    if (effect.type === "RunCall") {
      const lengthMs = this.#nowMs < SLOW_UNTIL_MS ? SLOW_RUN_MS : USUAL_RUN_MS;
      const end = { id: effect.id, atMs: this.#nowMs + lengthMs };
      this.#startedAtMs.set(effect.id, this.#nowMs);
      this.#pendingEnds.push(end);
      this.#pendingEnds.sort((a, b) => a.atMs - b.atMs);
    }
  }
}

describe("a gate whose slots were all in use by runs that waited", () => {
  it("raises its pressure meanwhile, and lowers it soon after", () => {
    const simulation = new GateSimulation();
    simulation.play();
    const { samples } = simulation;
    const slow = samples.filter(({ nowMs }) => nowMs < SLOW_UNTIL_MS);
    expect(Math.max(...slow.map(({ pressure }) => pressure))).to.be.above(0.8);
    const idle = samples.find(({ nowMs, running }) =>
      nowMs > SLOW_UNTIL_MS && running < SLOTS / 2
    )!;
    const after = samples
      .filter(({ nowMs }) => nowMs >= idle.nowMs + RELEASE_MS);
    expect(Math.max(...after.map(({ running }) => running)))
      .to.be.below(SLOTS / 2);
    expect(after[0]!.pressure).to.be.below(0.1);
  });
});
