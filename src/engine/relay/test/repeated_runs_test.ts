/**
 * Estimate of the share of a backend server's calls that repeated runs make.
 */
import { expect } from "chai";
import { RepeatedRuns } from "../common/repeated_runs.ts";

const FIRST = { route: "lookup", repeatShare: 0 };
const REPEAT = { route: "lookup", repeatShare: 1 };
const OTHER = { route: "upload", repeatShare: 0 };
const NOW_MS = 10_000;

function startRuns(...runs: readonly (typeof FIRST)[]): RepeatedRuns {
  const repeated = new RepeatedRuns();
  runs.forEach((run) => repeated.recordStart(run, NOW_MS));
  return repeated;
}

describe("the runs that may have made a call", () => {
  it("are repeats in the ratio of the runs of the route that started", () => {
    const repeated = startRuns(FIRST, REPEAT, OTHER);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS)).to.equal(1 / 2);
    expect(repeated.computeRepeatShare(["upload"], NOW_MS)).to.equal(0);
  });

  it("are all runs that started if the parent routes aren't known", () => {
    const repeated = startRuns(REPEAT, OTHER);
    expect(repeated.computeRepeatShare([], NOW_MS)).to.equal(1 / 2);
    expect(repeated.computeRepeatShare(["transfer"], NOW_MS)).to.equal(1 / 2);
  });

  it("pass on the probability that they are repeats", () => {
    const repeated = startRuns({ route: "check", repeatShare: 0.25 });
    expect(repeated.computeRepeatShare(["check"], NOW_MS)).to.equal(0.25);
  });

  it("lose weight with time, however long they last", () => {
    const repeated = startRuns(REPEAT);
    repeated.recordStart(FIRST, NOW_MS + 100);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS + 100))
      .to.equal(0.5 / 1.5);
  });

  it("no longer count as repeats once their weight is negligible", () => {
    const repeated = startRuns(REPEAT);
    repeated.recordStart(FIRST, NOW_MS + 800);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS + 800)).to.equal(0);
  });
});
