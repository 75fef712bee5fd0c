/** The usual speed of a backend server that reports its machine's slowdown. */
import { expect } from "chai";
import { reduceGate } from "../common/gate.ts";
import { createGate, createLoadFigures } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import type { LocalBackend } from "../common/local_backend.ts";

const BACKEND: LocalBackend = {
  instanceId: "i-1",
  startedAtMs: 1,
  service: "warehouse",
  address: { ip: "127.0.0.1", port: 1 },
  dataCentre: "a",
  slots: 22,
  isDraining: false,
  warmUntilMs: 0,
};
/** Time between two completions: about 300 calls a second. */
const GAP_MS = 3;
const ROUTE_MS = { long: 62, short: 39 } as const;
/** Mean over the two routes with equal weights. */
const MEAN_MS = 50.5;

interface Phase {
  readonly lengthMs: number;
  /** Of each ten calls, how many are long. */
  readonly longOfTen: number;
  /** Reported slowdown; undefined if the backend server reports none. */
  readonly slowdown?: number;
  /** Slowness beside the reported slowdown. */
  readonly slowness?: number;
}

/** Plays runs that end one by one at a gate. */
class GateRuns {
  readonly state: GateState = createGate();
  nowMs = 1_000;
  #count = 0;

  constructor() {
    this.#announce(BACKEND);
  }

  get serviceMs(): number {
    return createLoadFigures(this.state).serviceMs;
  }

  replaceInstance(): void {
    this.#announce({ ...BACKEND, instanceId: "i-2", startedAtMs: 2 });
  }

  play({ lengthMs, longOfTen, slowdown, slowness = 1 }: Phase): void {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) {
      this.nowMs += GAP_MS;
      this.#count += 1;
      // Steps by 3 of 10 mix the routes evenly within each ten calls.
      const route = this.#count * 3 % 10 < longOfTen ? "long" : "short";
      this.#endCall(route, ROUTE_MS[route] * slowness, slowdown);
    }
  }

  tickAt(nowMs: number): void {
    reduceGate(this.state, { type: "Ticked" }, nowMs);
  }

  #announce(backend: LocalBackend): void {
    reduceGate(this.state, { type: "BackendChanged", backend }, this.nowMs);
  }

  #endCall(route: string, usualMs: number, slowdown?: number): void {
    if (slowdown !== undefined) {
      const load = {
        running: undefined,
        queued: undefined,
        slots: undefined,
        slowdown,
      };
      reduceGate(this.state, { type: "LoadReported", load }, this.nowMs);
    }
    reduceGate(this.state, {
      type: "CallEnded",
      id: this.#count,
      route,
      serviceMs: usualMs * (slowdown ?? 1),
      isLost: false,
      isRejected: false,
      wasSent: true,
    }, this.nowMs);
  }
}

describe("the usual service time of a backend server", () => {
  // Guards against a change of the mix that counts as a change of speed.
  it("doesn't depend on the mix of its routes", () => {
    const runs = new GateRuns();
    for (const longOfTen of [9, 1, 5, 10, 1]) {
      runs.play({ lengthMs: 2_000, longOfTen, slowdown: 1 });
      expect(runs.serviceMs, `${longOfTen} of 10 are long`)
        .to.be.closeTo(MEAN_MS, MEAN_MS * 0.03);
    }
    // The mean over all calls, which other gates report, moves with the mix.
    expect(runs.state.meanServiceMs).to.be.below(MEAN_MS * 0.85);
  });

  // Guards against a backend server that is believed quick for fifty calls.
  it("follows a change of speed within 600 ms, in both directions", () => {
    const runs = new GateRuns();
    runs.play({ lengthMs: 3_000, longOfTen: 5, slowdown: 1 });
    for (const slowness of [2, 0.7, 1]) {
      runs.play({ lengthMs: 600, longOfTen: 2, slowdown: 1, slowness });
      expect(runs.serviceMs / MEAN_MS).to.be.closeTo(slowness, slowness * 0.1);
    }
  });

  // Guards against a slowdown that counts both in the time and in the factor.
  it("leaves out the slowdown that the backend server reports", () => {
    const runs = new GateRuns();
    runs.play({ lengthMs: 2_000, longOfTen: 5, slowdown: 1 });
    runs.play({ lengthMs: 600, longOfTen: 5, slowdown: 2.5 });
    expect(runs.serviceMs).to.be.closeTo(MEAN_MS, MEAN_MS * 0.1);
    expect(createLoadFigures(runs.state).slowdown).to.equal(2.5);
  });

  // Guards against a backend server that gets no calls because it was slow once.
  it("counts with a slowdown for 600 ms after its last report only", () => {
    const runs = new GateRuns();
    runs.play({ lengthMs: 600, longOfTen: 5, slowdown: 2.5 });
    runs.tickAt(runs.nowMs + 590);
    expect(createLoadFigures(runs.state).slowdown).to.equal(2.5);
    runs.tickAt(runs.nowMs + 610);
    expect(createLoadFigures(runs.state).slowdown).to.equal(1);
  });

  // Guards against a new process instance that is taken to be as fast as the
  // one before it.
  it("holds for one process instance", () => {
    const runs = new GateRuns();
    runs.play({ lengthMs: 600, longOfTen: 5, slowdown: 1 });
    runs.replaceInstance();
    runs.play({ lengthMs: 600, longOfTen: 5, slowdown: 1, slowness: 2 });
    expect(runs.serviceMs).to.be.closeTo(2 * MEAN_MS, 2 * MEAN_MS * 0.03);
  });

  // Guards against other figures where no backend server names a slowdown.
  it("is the mean over all calls where no slowdown is reported", () => {
    const runs = new GateRuns();
    runs.play({ lengthMs: 2_000, longOfTen: 9 });
    runs.play({ lengthMs: 2_000, longOfTen: 1 });
    expect(runs.serviceMs).to.equal(runs.state.meanServiceMs);
    expect(runs.serviceMs).to.be.closeTo(41.3, 1);
    expect(createLoadFigures(runs.state)).not.to.have.property("slowdown");
  });
});
