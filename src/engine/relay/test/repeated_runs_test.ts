/** Which part of a backend server's calls is made by repeated runs. */
import { expect } from "chai";
import { RepeatedRuns } from "../common/repeated_runs.ts";

const FIRST = { route: "lookup", repeatShare: 0 };
const REPEAT = { route: "lookup", repeatShare: 1 };
const OTHER = { route: "upload", repeatShare: 0 };
const NOW_MS = 10_000;

function begin(...runs: readonly (typeof FIRST)[]): RepeatedRuns {
  const repeated = new RepeatedRuns();
  runs.forEach((run) => repeated.recordStart(run, NOW_MS));
  return repeated;
}

describe("the runs that may have made a call", () => {
  it("are repeats by their part of those that began", () => {
    const repeated = begin(FIRST, REPEAT, OTHER);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS)).to.equal(1 / 2);
    expect(repeated.computeRepeatShare(["upload"], NOW_MS)).to.equal(0);
  });

  it("are all that began where their routes aren't known", () => {
    const repeated = begin(REPEAT, OTHER);
    expect(repeated.computeRepeatShare([], NOW_MS)).to.equal(1 / 2);
    expect(repeated.computeRepeatShare(["transfer"], NOW_MS)).to.equal(1 / 2);
  });

  it("carry on the likelihood that they were given", () => {
    const repeated = begin({ route: "check", repeatShare: 0.25 });
    expect(repeated.computeRepeatShare(["check"], NOW_MS)).to.equal(0.25);
  });

  it("count less with time, however long they last", () => {
    const repeated = begin(REPEAT);
    repeated.recordStart(FIRST, NOW_MS + 100);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS + 100))
      .to.equal(0.5 / 1.5);
  });

  it("are forgotten as repeats once their part is next to nothing", () => {
    const repeated = begin(REPEAT);
    repeated.recordStart(FIRST, NOW_MS + 800);
    expect(repeated.computeRepeatShare(["lookup"], NOW_MS + 800)).to.equal(0);
  });
});
