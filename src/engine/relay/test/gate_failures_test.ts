/** The share of failed calls that a gate reports of its backend server. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { flattenFrame, parseFrame } from "../../mesh/common/frames.ts";
import type { LoadFigures } from "../../mesh/common/frames.ts";
import { reduceGate } from "../common/gate.ts";
import { createGate, createLoadFigures } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import type { AnswerValidation } from "../common/dialect.ts";
import { createBackend, createCall, DIALECT } from "./gate_fakes.ts";
import { openGate as openGateCalls } from "./open_gate.ts";

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

describe("what counts as failed at a gate", () => {
  const OUTCOMES: readonly {
    readonly title: string;
    readonly validation: AnswerValidation;
    readonly status: number;
    readonly isLeaf: boolean;
    readonly isFailure: boolean;
  }[] = [
    {
      title: "a request that wasn't run",
      validation: { type: "NotRun", reason: "full" },
      status: 503,
      isLeaf: false,
      isFailure: true,
    },
    {
      title: "an answer that belongs to none",
      validation: { type: "Foreign", reason: "other id" },
      status: 200,
      isLeaf: false,
      isFailure: true,
    },
    {
      title: "an error where nothing is called",
      validation: { type: "Answered" },
      status: 500,
      isLeaf: true,
      isFailure: true,
    },
    {
      title: "an error that may come from further downstream",
      validation: { type: "Answered" },
      status: 500,
      isLeaf: false,
      isFailure: false,
    },
  ];

  for (const { title, validation, status, isLeaf, isFailure } of OUTCOMES) {
    // Guards against failures that no gate reports, so that each node must find
    // them by calls of its own.
    it(`${title}: ${isFailure}`, async () => {
      const server = createServer((request, response) => {
        request.resume();
        response.writeHead(status, { "Content-Length": 0 }).end();
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      await using gate = openGateCalls({
        dialect: { ...DIALECT, validateAnswer: () => validation },
        isLeaf: () => isLeaf,
      });
      gate.changeBackend(createBackend(port));
      await new Promise<void>((resolve) =>
        gate.receive("1", createCall(1, {}), () => resolve())
      );
      server.closeAllConnections();
      server.close();
      expect(gate.readLoad().failureShare !== undefined).to.equal(isFailure);
    });
  }
});
