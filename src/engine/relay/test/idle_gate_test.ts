/**
 * Requests were refused for gates whose places stood idle. The places of a
 * service that makes calls had all been taken by runs that waited for the
 * narrow service below, and many of these came to nothing; their losses and
 * their long runs raised the pressure to its bound, and it fell by 0.36 a second
 * at most, however idle the gate was by then. What settled it: a second after
 * the service below had caught up, 24 such gates said
 *     GateUnderPressure limit=58 meanRunning=25.66 pressure=0.87 lostShare=0.18
 * and refused 740 of the most urgent requests.
 */
import { expect } from "chai";
import { createGate, createLoadFigures, reduceGate } from "../common/gate.ts";
import type { GateEffect, GateEvent, GateState } from "../common/gate.ts";

const TICK_MS = 20;
const SLOTS = 60;
/** Calls that come in a tick: the room is enough for runs of 300 ms. */
const ARRIVALS = 2;
/** Length of a run while the service below is short of room. */
const SLOW_MS = 1_500;
const USUAL_MS = 100;
const DEADLINE_MS = 2_000;
const SLOW_UNTIL_MS = 4_000;
/** The whole system is to be back 2 s after an overload; this is a part. */
const RELEASE_MS = 500;
const END_MS = 9_000;

interface Look {
  readonly nowMs: number;
  readonly running: number;
  readonly pressure: number;
}

/** Runs end at their own time; half of the slow ones come to nothing. */
class Fleet {
  readonly looks: Look[] = [];
  readonly #gate: GateState = createGate();
  readonly #ends: { readonly id: number; readonly atMs: number }[] = [];
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
        address: "127.0.0.1:1",
        dataCentre: "a",
        slots: SLOTS,
        isDraining: false,
        warmUpEndMs: 0,
      },
    });
    while (this.#nowMs < END_MS) {
      this.#nowMs += TICK_MS;
      this.#endDue();
      for (let i = 0; i < ARRIVALS; i += 1) {
        this.#arrive();
      }
      this.#step({ type: "Ticked" });
      const { running, pressure } = createLoadFigures(this.#gate);
      this.looks.push({ nowMs: this.#nowMs, running, pressure });
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
    while ((this.#ends[0]?.atMs ?? Infinity) <= this.#nowMs) {
      const { id, atMs } = this.#ends.shift()!;
      const serviceMs = atMs - this.#startedAtMs.get(id)!;
      const isLost = serviceMs === SLOW_MS && id % 2 === 0;
      this.#step({
        type: "CallEnded",
        id,
        route: "check",
        serviceMs: isLost ? undefined : serviceMs,
        isLost,
        isRejected: false,
      });
    }
  }

  #step(event: GateEvent): void {
    const effects = reduceGate(this.#gate, event, this.#nowMs);
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GateEffect): void {
    if (effect.type === "RunCall") {
      const lengthMs = this.#nowMs < SLOW_UNTIL_MS ? SLOW_MS : USUAL_MS;
      const end = { id: effect.id, atMs: this.#nowMs + lengthMs };
      this.#startedAtMs.set(effect.id, this.#nowMs);
      this.#ends.push(end);
      this.#ends.sort((a, b) => a.atMs - b.atMs);
    }
  }
}

describe("a gate whose places were all taken by runs that waited", () => {
  it("raises pressure while they are, and ends it soon after", () => {
    const fleet = new Fleet();
    fleet.play();
    const { looks } = fleet;
    const slow = looks.filter(({ nowMs }) => nowMs < SLOW_UNTIL_MS);
    expect(Math.max(...slow.map(({ pressure }) => pressure))).to.be.above(0.8);
    const idle = looks.find(({ nowMs, running }) =>
      nowMs > SLOW_UNTIL_MS && running < SLOTS / 2
    )!;
    const after = looks
      .filter(({ nowMs }) => nowMs >= idle.nowMs + RELEASE_MS);
    expect(Math.max(...after.map(({ running }) => running)))
      .to.be.below(SLOTS / 2);
    expect(after[0]!.pressure).to.be.below(0.1);
  });
});
