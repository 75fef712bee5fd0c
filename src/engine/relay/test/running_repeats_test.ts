/** Which part of a backend server's calls is made by repeated runs. */
import { expect } from "chai";
import { RunningRepeats } from "../common/running_repeats.ts";

const FIRST = { route: "lookup", repeatShare: 0 };
const REPEAT = { route: "lookup", repeatShare: 1 };
const OTHER = { route: "upload", repeatShare: 0 };

describe("the runs that may have made a call", () => {
  it("are repeats by their part of those in progress", () => {
    const repeats = new RunningRepeats();
    repeats.noteRun(FIRST, 1);
    repeats.noteRun(REPEAT, 1);
    repeats.noteRun(OTHER, 1);
    expect(repeats.computeShare(["lookup"])).to.equal(1 / 2);
    expect(repeats.computeShare(["upload"])).to.equal(0);
  });

  it("are all that are in progress where their routes aren't known", () => {
    const repeats = new RunningRepeats();
    repeats.noteRun(REPEAT, 1);
    repeats.noteRun(OTHER, 1);
    expect(repeats.computeShare([])).to.equal(1 / 2);
    expect(repeats.computeShare(["transfer"])).to.equal(1 / 2);
  });

  it("carry on the likelihood that they were given", () => {
    const repeats = new RunningRepeats();
    repeats.noteRun({ route: "check", repeatShare: 0.25 }, 1);
    expect(repeats.computeShare(["check"])).to.equal(0.25);
  });

  it("count no more once they have ended", () => {
    const repeats = new RunningRepeats();
    repeats.noteRun(REPEAT, 1);
    expect(repeats.hasAny).to.equal(true);
    repeats.noteRun(REPEAT, -1);
    expect(repeats.hasAny).to.equal(false);
    expect(repeats.computeShare(["lookup"])).to.equal(0);
  });
});
