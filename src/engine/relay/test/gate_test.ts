/** The gate of one backend server: which calls run, wait or are refused. */
import { expect } from "chai";
import { reduceGate } from "../common/gate.ts";
import type { GateEffect } from "../common/gate.ts";
import { computeLimit, createGate } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import type { LocalBackend } from "../common/local_backend.ts";
import type { GateCall } from "../common/gate_queue.ts";

const BACKEND: LocalBackend = {
  instanceId: "i-1",
  startedAtMs: undefined,
  service: "warehouse",
  address: { ip: "127.0.0.1", port: 1 },
  dataCentre: "a",
  slots: 2,
  isDraining: false,
  warmUntilMs: 0,
};

function createCall(id: number, change: Partial<GateCall> = {}): GateCall {
  return {
    id,
    route: "lookup",
    rank: 1,
    isNested: false,
    arrivedAtMs: 0,
    dueAtMs: 500,
    deadlineMs: 1_000,
    ...change,
  };
}

function openGate(slots = 2): GateState {
  const gate = createGate();
  const backend = { ...BACKEND, slots };
  reduceGate(gate, { type: "BackendChanged", backend }, 0);
  return gate;
}

function arrive(gate: GateState, call: GateCall): readonly GateEffect[] {
  return reduceGate(gate, { type: "CallArrived", call }, call.arrivedAtMs);
}

function end(
  gate: GateState,
  id: number,
  nowMs = 10,
  serviceMs = 10,
): readonly GateEffect[] {
  return reduceGate(gate, { ...createEnd(id), serviceMs }, nowMs);
}

function createEnd(id: number) {
  return {
    type: "CallEnded",
    id,
    route: "lookup",
    serviceMs: 10,
    isLost: false,
    isRejected: false,
    wasSent: true,
  } as const;
}

function describeEffects(effects: readonly GateEffect[]): readonly string[] {
  return effects.map((effect) => {
    switch (effect.type) {
      case "RunCall":
        return `run ${effect.id}`;
      case "RefuseCall":
        return `refuse ${effect.id} ${effect.reason}`;
      case "NoticeChanged":
        return effect.changes.join(", ");
    }
  });
}

describe("the gate", () => {
  it("refuses all calls before the backend server has announced itself", () => {
    const effects = arrive(createGate(), createCall(1));
    expect(describeEffects(effects)).to.deep.equal(["refuse 1 no_backend"]);
  });

  it("runs no more calls than its limit, which is below the slots", () => {
    const gate = openGate(40);
    expect(computeLimit(gate)).to.equal(38);
    const runs = Array.from(
      { length: 50 },
      (_, id) => describeEffects(arrive(gate, createCall(id)))[0] ?? "wait",
    );
    expect(runs.filter((run) => run.startsWith("run"))).to.have.length(38);
  });

  // Guards against callers refused beside slots that are never used: one in five
  // where there are 5, half of them where there are 2.
  it("leaves no slot idle that is more of the capacity than it may cost", () => {
    const slots = [1, 2, 4, 5, 8, 9, 12, 15, 56, 100];
    expect(slots.map((count) => computeLimit(openGate(count))))
      .to.deep.equal([1, 2, 4, 5, 8, 8, 11, 14, 53, 95]);
  });

  it("runs waiting calls by due time, then by rank, then by age", () => {
    const gate = openGate(1);
    arrive(gate, createCall(1));
    arrive(gate, createCall(2, { rank: 2 }));
    arrive(gate, createCall(3, { rank: 2 }));
    arrive(gate, createCall(4, { rank: 2, dueAtMs: 100 }));
    arrive(gate, createCall(5, { rank: 0 }));
    arrive(gate, createCall(6, { rank: 0, dueAtMs: 300, isNested: true }));
    const order = [1, 4, 6, 5, 2]
      .map((id) => describeEffects(end(gate, id))[0]);
    expect(order)
      .to.deep.equal(["run 4", "run 6", "run 5", "run 2", "run 3"]);
  });

  it("lets calls of begun requests wait, whatever else waits", () => {
    const gate = openGate(1);
    arrive(gate, createCall(0));
    for (let id = 1; id <= 25; id += 1) {
      const nested = createCall(id, { isNested: true, rank: 2 });
      expect(arrive(gate, nested)).to.deep.equal([]);
    }
    expect(arrive(gate, createCall(26))).to.deep.equal([]);
    const many = Array.from(
      { length: 8 },
      (_, i) => describeEffects(arrive(gate, createCall(27 + i)))[0],
    );
    expect(many.slice(0, 3)).to.deep.equal([undefined, undefined, undefined]);
    const last = createCall(40, { isNested: true, dueAtMs: 900 });
    expect(describeEffects(arrive(gate, last)))
      .to.deep.equal(["refuse 40 queue_full"]);
  });

  it("refuses the least urgent root request when the queue is full", () => {
    const gate = openGate(1);
    arrive(gate, createCall(0));
    for (let id = 1; id <= 8; id += 1) {
      expect(arrive(gate, createCall(id, { rank: 2 }))).to.deep.equal([]);
    }
    expect(describeEffects(arrive(gate, createCall(9, { rank: 2 }))))
      .to.deep.equal(["refuse 9 queue_full"]);
    expect(describeEffects(arrive(gate, createCall(10, { rank: 0 }))))
      .to.deep.equal(["refuse 8 displaced"]);
  });

  it("hands nothing over once the backend server drains", () => {
    const gate = openGate(1);
    arrive(gate, createCall(1));
    arrive(gate, createCall(2));
    const backend = { ...BACKEND, isDraining: true };
    const drained = reduceGate(gate, { type: "BackendChanged", backend }, 5);
    expect(describeEffects(drained)).to.deep.equal(["refuse 2 draining"]);
    expect(describeEffects(arrive(gate, createCall(3))))
      .to.deep.equal(["refuse 3 draining"]);
    expect(describeEffects(end(gate, 1))).to.deep.equal([]);
  });

  it("hands nothing over once an answer said that the backend server leaves", () => {
    const gate = openGate(1);
    arrive(gate, createCall(1));
    arrive(gate, createCall(2));
    const statement = {
      instance: "i-1",
      limit: { type: "None" },
      isLeaving: true,
      handedOverAtMs: 0,
      receivedAtMs: 5,
    } as const;
    const said = {
      type: "StatementReceived",
      statement,
      source: {},
    } as const;
    expect(describeEffects(reduceGate(gate, said, 5)))
      .to.deep.equal(["refuse 2 draining", "leaving"]);
    reduceGate(gate, { type: "BackendChanged", backend: BACKEND }, 6);
    expect(describeEffects(arrive(gate, createCall(3))))
      .to.deep.equal(["refuse 3 draining"]);
    const backend = { ...BACKEND, startedAtMs: 7 };
    reduceGate(gate, { type: "BackendChanged", backend }, 7);
    expect(describeEffects(end(gate, 1))).to.deep.equal([]);
    expect(describeEffects(arrive(gate, createCall(4))))
      .to.deep.equal(["run 4"]);
  });

  it("refuses at once a call that can't finish before its deadline", () => {
    const gate = openGate(1);
    arrive(gate, createCall(1));
    end(gate, 1);
    const late = createCall(2, { arrivedAtMs: 100, deadlineMs: 104 });
    expect(describeEffects(arrive(gate, late)))
      .to.deep.equal(["refuse 2 deadline"]);
  });

  it("gives a time for the next try with each refusal", () => {
    const [effect] = arrive(createGate(), createCall(1));
    expect(effect).to.have.property("retryAfterMs").above(0);
  });
});

describe("the service time of a gate", () => {
  /** Ends runs of `serviceMs` at a rate, beginning at 1 s. */
  function endRuns(
    gate: GateState,
    { serviceMs, perSecond, lengthMs }: {
      readonly serviceMs: number;
      readonly perSecond: number;
      readonly lengthMs: number;
    },
  ): number {
    const count = perSecond * lengthMs / 1_000;
    for (let id = 1; id <= count; id += 1) {
      end(gate, id, 1_000 + id * 1_000 / perSecond, serviceMs);
    }
    return gate.meanServiceMs;
  }

  // Guards against a backend server that is avoided for its slow first runs, and
  // gets too few calls to show that it is fast.
  it("follows a change within seconds at three calls a second", () => {
    const gate = openGate();
    end(gate, 0, 1_000, 75);
    const run = { serviceMs: 8, perSecond: 3, lengthMs: 6_000 };
    expect(endRuns(gate, run)).to.be.below(16);
  });

  // Guards against a choice that follows single runs where calls are many.
  it("is smoothed over many calls where there are many", () => {
    const gate = openGate();
    end(gate, 0, 1_000, 8);
    endRuns(gate, { serviceMs: 8, perSecond: 100, lengthMs: 1_000 });
    end(gate, 0, 2_010, 108);
    expect(gate.meanServiceMs).to.be.closeTo(10, 0.01);
  });

  // Guards against a backend server that is avoided for seconds, and calls that
  // are refused as too late, once its node has been suspended for a while.
  it("is as before if the answers waited while the node was suspended", () => {
    const gate = openGate(5);
    endRuns(gate, { serviceMs: 60, perSecond: 100, lengthMs: 1_000 });
    const read = { serviceMs: 5_040, readLagMs: 4_990 };
    for (let id = 0; id < 5; id += 1) {
      reduceGate(gate, { ...createEnd(id), ...read }, 7_000);
    }
    expect(gate.meanServiceMs).to.be.closeTo(60, 0.01);
    expect(gate.serviceTimes.get("lookup")?.meanMs).to.be.closeTo(60, 0.01);
  });

  // Guards against runs that never count as long as the node is slow itself.
  it("follows runs that are longer or shorter whatever the wait was", () => {
    for (const [serviceMs, meanMs] of [[800, 500], [20, 20]] as const) {
      const gate = openGate(5);
      endRuns(gate, { serviceMs: 60, perSecond: 100, lengthMs: 1_000 });
      const read = { serviceMs, readLagMs: 300 };
      for (let id = 0; id < 400; id += 1) {
        const nowMs = 2_000 + id * 10;
        reduceGate(gate, { ...createEnd(id), ...read }, nowMs);
      }
      expect(gate.meanServiceMs).to.be.closeTo(meanMs, meanMs / 10);
    }
  });

  // Guards against one slow run after a pause that counts for all before it.
  it("is not that of a single call after a pause", () => {
    const gate = openGate();
    end(gate, 0, 1_000, 8);
    end(gate, 1, 60_000, 108);
    expect(gate.meanServiceMs).to.be.below(34);
  });
});

describe("the service time of a route", () => {
  /** Plays calls of one route at even intervals; returns what became of each. */
  function playCalls(
    gate: GateState,
    calls: {
      readonly fromMs: number;
      readonly perSecond: number;
      readonly lengthMs: number;
      readonly serviceMs: number;
      readonly timeLeftMs: number;
    },
  ): readonly string[] {
    const { fromMs, perSecond, lengthMs, serviceMs, timeLeftMs } = calls;
    return Array.from({ length: lengthMs / 1_000 * perSecond }, (_, n) => {
      const arrivedAtMs = fromMs + n * 1_000 / perSecond;
      const deadlineMs = arrivedAtMs + timeLeftMs;
      const call = createCall(n, { arrivedAtMs, deadlineMs });
      const [effect] = arrive(gate, call);
      if (effect?.type === "RunCall") {
        end(gate, n, arrivedAtMs + Math.min(serviceMs, 900), serviceMs);
      }
      return effect?.type ?? "none";
    });
  }

  for (const perSecond of [1, 5, 100]) {
    // Guards against calls that are refused for good after some slow runs, as
    // no run shows any more that they have become short again.
    it(`doesn't refuse calls for good at ${perSecond} a second`, () => {
      const gate = openGate(200);
      const calls = { perSecond, timeLeftMs: 600 };
      playCalls(gate, {
        ...calls,
        fromMs: 1_000,
        lengthMs: 30_000,
        serviceMs: 1_500,
      });
      const after = playCalls(gate, {
        ...calls,
        fromMs: 31_000,
        lengthMs: 20_000,
        serviceMs: 60,
      });
      expect(after.slice(-10 * perSecond)).not.to.include("RefuseCall");
    });
  }

  // Guards against demand that seems higher than it is long after slow runs.
  it("is known to a tenth after 14 s at one call a second", () => {
    const gate = openGate();
    const calls = { perSecond: 1, timeLeftMs: 5_000 };
    playCalls(gate, {
      ...calls,
      fromMs: 1_000,
      lengthMs: 30_000,
      serviceMs: 300,
    });
    playCalls(gate, {
      ...calls,
      fromMs: 31_000,
      lengthMs: 14_000,
      serviceMs: 60,
    });
    expect(gate.serviceTimes.get("lookup")?.meanMs).to.be.below(66);
  });
});
