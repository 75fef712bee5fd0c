/** Cumulative histograms of durations. */
import { expect } from "chai";
import {
  BUCKET_BOUNDS_MS,
  DurationBuckets,
} from "../common/duration_buckets.ts";

describe("durations", () => {
  it("are counted at each bound that is not below them", () => {
    const buckets = new DurationBuckets();
    [1, 5, 30, 20_000].forEach((ms) => buckets.record("lookup", ms));
    const counts = new Map(
      buckets.list().map(([, bound, count]) => [bound, count]),
    );
    expect(counts.get("2")).to.equal(1);
    expect(counts.get("5")).to.equal(2);
    expect(counts.get("25")).to.equal(2);
    expect(counts.get("50")).to.equal(3);
    expect(counts.get("10000")).to.equal(3);
    expect(counts.get("+Inf")).to.equal(4);
  });

  it("are counted separately by label", () => {
    const buckets = new DurationBuckets();
    buckets.record("lookup", 1);
    buckets.record("upload", 1);
    expect(buckets.list()).to.have.length(2 * (BUCKET_BOUNDS_MS.length + 1));
  });
});
