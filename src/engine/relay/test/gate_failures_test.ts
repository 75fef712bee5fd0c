/** The share of failed calls that a gate reports of its backend server. */
import { expect } from "chai";
import { flattenFrame, parseFrame } from "../../mesh/common/frames.ts";
import type { LoadFigures } from "../../mesh/common/frames.ts";
import { reduceGate } from "../common/gate.ts";
import { createGate, createLoadFigures } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import { createBackend } from "./gate_fakes.ts";

function openGate(): GateState {
  const gate = createGate();
  reduceGate(
    gate,
    { type: "BackendChanged", backend: createBackend(1_000) },
    0,
  );
  return gate;
}

/** Ends calls at even intervals of 10 ms; returns the time of the last. */
function endCalls(
  gate: GateState,
  count: number,
  options: { readonly fromMs: number; readonly isFailure?: boolean },
): number {
  const { fromMs, isFailure } = options;
  for (let n = 0; n < count; n += 1) {
    const ended = { isLost: false, isRejected: false, isFailure };
    reduceGate(gate, {
      type: "CallEnded",
      id: n,
      route: "lookup",
      serviceMs: undefined,
      wasSent: true,
      ...ended,
    }, fromMs + n * 10);
  }
  return fromMs + count * 10;
}

/** Sends a load to another node, and returns what it reads. */
function transferLoad(load: LoadFigures): LoadFigures {
  const report = {
    type: "LoadReported",
    load,
    below: [],
    callers: [],
  } as const;
  const frame = parseFrame(flattenFrame(report, 0), 0);
  return (frame as typeof report).load;
}

describe("the share of failed calls that a gate reports", () => {
  // Guards against callers that can't tell a sound backend server from one
  // whose node doesn't count its failures.
  it("is absent until a call fails, and again 30 s after the last", () => {
    const gate = openGate();
    const endMs = endCalls(gate, 20, { fromMs: 0, isFailure: false });
    expect(createLoadFigures(gate)).not.to.have.property("failureShare");
    const failedMs = endCalls(gate, 40, { fromMs: endMs, isFailure: true });
    expect(createLoadFigures(gate).failureShare).to.be.above(0.8);
    reduceGate(gate, { type: "Ticked" }, failedMs + 29_000);
    expect(createLoadFigures(gate).failureShare).to.be.below(0.02);
    reduceGate(gate, { type: "Ticked" }, failedMs + 30_000);
    expect(createLoadFigures(gate)).not.to.have.property("failureShare");
  });

  it("isn't changed by calls whose end doesn't tell", () => {
    const gate = openGate();
    const endMs = endCalls(gate, 40, { fromMs: 0, isFailure: true });
    const before = createLoadFigures(gate).failureShare!;
    endCalls(gate, 40, { fromMs: endMs });
    expect(createLoadFigures(gate).failureShare).to.equal(before);
  });

  // Guards against a new process instance that is avoided for the former one.
  it("is that of the current process instance", () => {
    const gate = openGate();
    const endMs = endCalls(gate, 40, { fromMs: 0, isFailure: true });
    const backend = { ...createBackend(1_000), instanceId: "i-2" };
    reduceGate(gate, { type: "BackendChanged", backend }, endMs);
    expect(createLoadFigures(gate)).not.to.have.property("failureShare");
  });

  it("reaches other nodes, with or without the figures before it", () => {
    const load = {
      running: 1,
      queued: 0,
      limit: 4,
      pressure: 0,
      serviceMs: 20,
    };
    expect(transferLoad({ ...load, failureShare: 0.25 }))
      .to.include({ failureShare: 0.25, spare: undefined });
    expect(transferLoad({ ...load, failureShare: 0 }).failureShare).to.equal(0);
    expect(transferLoad({ ...load, spare: 0.5 }))
      .to.include({ failureShare: undefined, spare: 0.5 });
  });
});
