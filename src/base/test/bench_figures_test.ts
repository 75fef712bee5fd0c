import { expect } from "chai";
import {
  createRandom,
  pickWeighted,
  planArrivals,
} from "../../../bench/arrivals.ts";
import {
  computeGoodput,
  computePercentile,
  computeRecoveryMs,
  countInversions,
} from "../../../bench/outcomes.ts";
import type { RootOutcome, RootResult } from "../../../bench/outcomes.ts";
import {
  computeCapacity,
  computeIdealGoodput,
  computeRunsPerRoot,
  SERVERS_PER_SERVICE,
  SLOTS,
} from "../../../bench/workload.ts";
import type { WorkloadKind } from "../../../bench/workload.ts";

function createOutcome(
  arrivedAtMs: number,
  result: RootResult,
  kind = "lookup",
): RootOutcome {
  const endedAtMs = arrivedAtMs + 5;
  return { kind, arrivedAtMs, endedAtMs, result, sends: 1, lagMs: 0 };
}

/** Creates one outcome every 10 ms; those within `refused` are refused. */
function createOutcomes(
  endMs: number,
  refused: { readonly fromMs: number; readonly toMs: number },
): readonly RootOutcome[] {
  return Array.from({ length: endMs / 10 }, (_, index) => {
    const atMs = index * 10;
    const isRefused = atMs >= refused.fromMs && atMs < refused.toMs;
    return createOutcome(atMs, isRefused ? "refused" : "whole");
  });
}

describe("metrics of the benchmarks", () => {
  it("plans the same Poisson arrivals from the same seed", () => {
    const phases = [
      { durationMs: 10_000, perSecond: 100 },
      { durationMs: 10_000, perSecond: 400 },
    ];
    const arrivals = planArrivals(phases, createRandom(7));
    expect(planArrivals(phases, createRandom(7))).to.deep.equal(arrivals);
    expect(planArrivals(phases, createRandom(8))).not.to.deep.equal(arrivals);
    expect(arrivals.toSorted((a, b) => a - b)).to.deep.equal(arrivals);
    const first = arrivals.filter((atMs) => atMs < 10_000).length;
    expect(first).to.be.within(880, 1_120);
    expect(arrivals.length - first).to.be.within(3_760, 4_240);
    const gaps = arrivals.slice(1, first).map((at, i) => at - arrivals[i]!);
    const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const variance = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) /
      gaps.length;
    expect(Math.sqrt(variance) / mean).to.be.within(0.85, 1.15);
  });

  it("picks in proportion to the weights", () => {
    const random = createRandom(3);
    const counts = [0, 0, 0];
    for (let i = 0; i < 10_000; i++) {
      counts[pickWeighted([0.5, 0.2, 0.3], random)]! += 1;
    }
    expect(counts[0]).to.be.within(4_800, 5_200);
    expect(counts[1]).to.be.within(1_850, 2_150);
  });

  it("takes percentiles by nearest rank", () => {
    const values = [5, 1, 4, 2, 3];
    expect(computePercentile(values, 0.5)).to.equal(3);
    expect(computePercentile(values, 0.99)).to.equal(5);
    expect(computePercentile([], 0.5)).to.be.NaN;
  });

  it("counts only complete answers as goodput", () => {
    const outcomes = createOutcomes(2_000, { fromMs: 1_000, toMs: 1_500 });
    const span = { fromMs: 1_000, toMs: 2_000 };
    expect(computeGoodput(outcomes, span)).to.be.within(49, 51);
  });

  it("finds when goodput has recovered for one second", () => {
    const baseline = { fromMs: 0, toMs: 1_000 };
    const window = { fromMs: 2_000, toMs: 5_000 };
    const recovered = createOutcomes(5_000, { fromMs: 1_000, toMs: 2_400 });
    expect(computeRecoveryMs(recovered, baseline, window)).to.equal(400);
    const unrecovered = createOutcomes(5_000, { fromMs: 1_000, toMs: 5_000 });
    expect(computeRecoveryMs(unrecovered, baseline, window)).to.equal(
      undefined,
    );
    const immediate = createOutcomes(5_000, { fromMs: 1_000, toMs: 2_000 });
    expect(computeRecoveryMs(immediate, baseline, window)).to.equal(0);
  });

  it("does not treat a short interval of good service as recovery", () => {
    const baseline = { fromMs: 0, toMs: 1_000 };
    const window = { fromMs: 2_000, toMs: 5_000 };
    const outcomes = createOutcomes(5_000, { fromMs: 2_500, toMs: 3_000 });
    expect(computeRecoveryMs(outcomes, baseline, window)).to.equal(1_000);
  });

  it("counts important requests refused while an unimportant one was served", () => {
    const ranks = [
      { kind: "lookup", isImportant: false, service: "shop" },
      { kind: "photo", isImportant: false, service: "photos" },
      { kind: "refund", isImportant: true, service: "till" },
    ];
    const outcomes = [
      createOutcome(10, "whole", "lookup"),
      { ...createOutcome(20, "refused", "refund"), refusedBy: "shop" },
      createOutcome(30, "refused", "refund"),
      createOutcome(210, "whole", "photo"),
      { ...createOutcome(220, "refused", "refund"), refusedBy: "shop" },
      createOutcome(410, "refused", "lookup"),
      { ...createOutcome(420, "refused", "refund"), refusedBy: "shop" },
    ];
    expect(countInversions(outcomes, ranks)).to.equal(1);
  });

  it("computes the capacity of the busiest service", () => {
    const lookup: WorkloadKind = {
      kind: "lookup",
      service: "shop",
      method: "GET",
      path: "/",
      importance: 1,
      timeoutMs: 1_000,
      share: 0.5,
      bodyBytes: 0,
      calls: [],
    };
    const refund: WorkloadKind = {
      ...lookup,
      kind: "refund",
      service: "till",
      calls: ["lookup"],
    };
    const serviceMs = { shop: 20, till: 10 };
    const kinds = [lookup, { ...refund, importance: 9 }];
    const workload = { name: "w", table: "", serviceMs, kinds };
    const slots = SERVERS_PER_SERVICE * SLOTS;
    const capacity = slots * 1_000 / 20;
    expect(computeCapacity(workload)).to.equal(capacity);
    expect(computeRunsPerRoot(workload)).to.equal(1.5);
    expect(computeIdealGoodput(workload, capacity)).to.equal(capacity);
    const atOverload = computeIdealGoodput(workload, 2 * capacity);
    expect(atOverload).to.be.closeTo(
      slots * 1_000 / 30 + slots * 1_000 / 60,
      1,
    );
  });
});
