/** How long a node holds what it measured of a backend server against it. */
import { expect } from "chai";
import {
  computeCost,
  createView,
  recordAttemptEnd,
} from "../common/backend_view.ts";
import type { BackendView } from "../common/backend_view.ts";
import { createMember } from "./fakes.ts";

const BASELINE_MS = 20;
/** Long after the ramp of a new backend server. */
const START_MS = 60_000;
const RESULTS = ["failed", "refused", "answered"] as const;
type Result = typeof RESULTS[number] | "cancelled";

/** Records the end of an attempt of ten times the usual time, or of the usual. */
function recordEnd(
  view: BackendView,
  result: Result,
  options: { readonly ratio: number; readonly nowMs: number },
): BackendView {
  const { ratio, nowMs } = options;
  return recordAttemptEnd(
    view,
    { report: { result, hintedLoad: undefined } as never, ratio },
    nowMs,
  );
}

describe("the view of a backend server that was bad and has recovered", () => {
  for (const result of RESULTS) {
    for (const gapMs of [1, 100, 1_000, 10_000]) {
      // Guards against a good answer that brings back a share of failures, of
      // refusals, or a latency that has decayed since.
      it(`never costs more by a good answer: ${result}, every ${gapMs} ms`, () => {
        let view = createView(createMember("m-1"), 0);
        let nowMs = START_MS;
        for (let n = 0; n < 20; n += 1, nowMs += 1) {
          view = recordEnd(view, result, { ratio: 10, nowMs });
        }
        const costs: number[] = [];
        for (let n = 0; n < 20; n += 1) {
          nowMs += gapMs;
          costs.push(computeCost(view, BASELINE_MS, nowMs));
          view = recordEnd(view, "answered", { ratio: 1, nowMs });
          costs.push(computeCost(view, BASELINE_MS, nowMs));
        }
        const rises = costs.filter((cost, at) =>
          at > 0 && cost > costs[at - 1]! + 1e-9
        );
        expect(rises).to.deep.equal([]);
      });
    }
  }

  // Guards against a failure that brings back a latency of long ago, and a
  // cancelled attempt that brings back failures.
  it("isn't held against it by what says nothing of it", () => {
    let slow = createView(createMember("m-1"), 0);
    let failing = slow;
    for (let n = 0; n < 20; n += 1) {
      const nowMs = START_MS + n;
      slow = recordEnd(slow, "answered", { ratio: 10, nowMs });
      failing = recordEnd(failing, "failed", { ratio: 1, nowMs });
    }
    const nowMs = START_MS + 20_000;
    slow = recordEnd(slow, "failed", { ratio: 1, nowMs });
    expect(slow.latencyRatio).to.be.below(1.1);
    failing = recordEnd(failing, "cancelled", { ratio: 2, nowMs });
    expect(failing.failureShare).to.be.below(0.1);
  });

  // Guards against a single failure after a pause that counts for four.
  it("isn't judged by one failure after a pause", () => {
    let view = createView(createMember("m-1"), 0);
    view = recordEnd(view, "failed", { ratio: 1, nowMs: START_MS });
    expect(view.failureShare).to.be.below(0.25);
  });
});
