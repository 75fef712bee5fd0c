/**
 * How soon smoothed figures follow a change, whatever the rate of their samples.
 * With a weight that doesn't depend on time, a figure that is right within a
 * second at a hundred calls a second is wrong for half a minute at one.
 */
import { expect } from "chai";
import fc from "fast-check";
import {
  createLimit,
  recordSlowdown,
  updateLimit,
} from "../../admission/common/concurrency_limit.ts";
import {
  recordLatency,
  UNKNOWN_SERVICE_TIME,
} from "../../admission/common/service_time.ts";
import {
  computeLatencyRatio,
  createView,
  recordAttemptEnd,
} from "../../routing/common/backend_view.ts";
import { reduceGate } from "../common/gate.ts";
import { createGate, createLoadFigures } from "../common/gate_state.ts";
import type { GateState } from "../common/gate_state.ts";
import { createAnnouncement, SLOTS } from "./announcements.ts";
import { createBackend } from "./gate_fakes.ts";

/** A smoothed figure; the value of a sample is 1 if all is as usual. */
interface Estimate {
  readonly record: (value: number, nowMs: number) => void;
  readonly read: (nowMs: number) => number;
}

/** Time after which a figure is right to a tenth. */
const FOLLOW_MS = 14_000;
const TOLERANCE = 0.1;
/** Largest change, as a factor. */
const MAX_CHANGE = 5;
const USUAL_MS = 60;

/** Creates an estimate that a gate makes from the times of runs. */
function createGateEstimate(
  read: (gate: GateState) => number,
  slowdown?: number,
): Estimate {
  const gate = createGate();
  const backend = createBackend(1, 1);
  reduceGate(gate, { type: "BackendChanged", backend }, 0);
  const load = { running: undefined, queued: undefined, slots: undefined };
  return {
    record: (value, nowMs) => {
      if (slowdown !== undefined) {
        const reported = { ...load, slowdown };
        reduceGate(gate, { type: "LoadReported", load: reported }, nowMs);
      }
      reduceGate(gate, {
        type: "CallEnded",
        id: 1,
        route: "lookup",
        serviceMs: value * USUAL_MS,
        isLost: false,
        isRejected: false,
        wasSent: true,
      }, nowMs);
    },
    read: () => read(gate) / USUAL_MS,
  };
}

/** Creates the latency of a backend server in the product's own interface. */
function createLatencyEstimate(): Estimate {
  let view = createView(createAnnouncement("127.0.0.1:1"), 0);
  return {
    record: (ratio, nowMs) => {
      const report = {
        service: "warehouse",
        nodeId: "n-1",
        kind: "lookup",
        latencyMs: ratio * USUAL_MS,
        result: "answered",
        isDraining: false,
      } as const;
      view = recordAttemptEnd(view, { report, ratio }, nowMs);
    },
    read: (nowMs) => computeLatencyRatio(view, USUAL_MS, nowMs),
  };
}

/** Creates the expected time of a run in the product's own interface. */
function createExpectedTime(): Estimate {
  let time = UNKNOWN_SERVICE_TIME;
  return {
    record: (value, nowMs) => {
      const answer = { latencyMs: value * USUAL_MS, ownMs: value * USUAL_MS };
      time = recordLatency(time, answer, nowMs);
    },
    read: () => time.expectedMs! / USUAL_MS,
  };
}

const TIMES: readonly (readonly [string, () => Estimate])[] = [
  [
    "the service time of a route",
    () => createGateEstimate((gate) => gate.serviceTimes.get("lookup")!.meanMs),
  ],
  [
    "the service time of all routes",
    () => createGateEstimate((gate) => gate.meanServiceMs),
  ],
  [
    "the usual service time beside a reported slowdown",
    () => createGateEstimate((gate) => createLoadFigures(gate).serviceMs, 1),
  ],
  ["the latency of a backend server", createLatencyEstimate],
  ["the expected time of a run", createExpectedTime],
];

/** Rates from one call a second to a thousand, evenly over the magnitudes. */
const PER_SECOND = fc.double({ min: 0, max: 3, noNaN: true })
  .map((magnitude) => 10 ** magnitude);
const CHANGE = fc.double({
  min: -Math.log(MAX_CHANGE),
  max: Math.log(MAX_CHANGE),
  noNaN: true,
}).map(Math.exp);

/** Records samples at even intervals until the end; returns that time. */
function recordSamples(
  { record }: Estimate,
  samples: {
    readonly value: number;
    readonly perSecond: number;
    readonly fromMs: number;
    readonly lengthMs: number;
  },
): number {
  const { value, perSecond, fromMs, lengthMs } = samples;
  const untilMs = fromMs + lengthMs;
  const gapMs = 1_000 / perSecond;
  for (let nowMs = fromMs + gapMs; nowMs <= untilMs; nowMs += gapMs) {
    record(value, nowMs);
  }
  return untilMs;
}

describe("a smoothed figure", () => {
  for (const [name, create] of TIMES) {
    // Guards against callers that are refused or sent elsewhere for what was
    // true half a minute ago.
    it(`follows a change at any rate: ${name}`, () => {
      fc.assert(fc.property(PER_SECOND, CHANGE, (perSecond, change) => {
        const estimate = create();
        const fromMs = recordSamples(estimate, {
          value: change,
          perSecond,
          fromMs: 1_000,
          lengthMs: 30_000,
        });
        const endMs = recordSamples(estimate, {
          value: 1,
          perSecond,
          fromMs,
          lengthMs: FOLLOW_MS,
        });
        expect(estimate.read(endMs)).to.be.closeTo(1, TOLERANCE);
      }));
    });
  }

  // Guards against slots that stay idle long after answers were slow.
  it("follows a change at any rate: the concurrency limit", () => {
    fc.assert(fc.property(PER_SECOND, (perSecond) => {
      let limit = createLimit(SLOTS);
      const estimate: Estimate = {
        record: (value, nowMs) => {
          const recorded = recordSlowdown(limit, value);
          const inputs = { slots: SLOTS, isIdle: false, nowMs };
          limit = updateLimit(recorded, inputs);
        },
        read: () => limit.value / SLOTS,
      };
      const phase = { perSecond, value: MAX_CHANGE * 2 };
      const fromMs = recordSamples(estimate, {
        ...phase,
        fromMs: 1_000,
        lengthMs: 30_000,
      });
      expect(estimate.read(fromMs)).to.be.below(0.8);
      const good = { perSecond, value: 1, fromMs, lengthMs: FOLLOW_MS };
      expect(estimate.read(recordSamples(estimate, good)))
        .to.be.closeTo(1, TOLERANCE);
    }));
  });
});
