/** When a caller's connection exceeds the limits on its times. */
import { expect } from "chai";
import { ConnectionTimes } from "../common/connection_times.ts";

const LIMITS = { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const NO_LIMITS = { headerTimeoutMs: 0, idleTimeoutMs: 0 };

describe("the times of a connection", () => {
  // Guards against a close while a caller may still use the connection.
  it("allow it to be idle for the whole limit, and no longer than a second more", () => {
    const times = new ConnectionTimes(100);
    expect(times.getOverdue(LIMITS, 15_100)).to.equal(undefined);
    expect(times.getOverdue(LIMITS, 16_100)).to.equal("Request");
  });

  it("count again after each answer", () => {
    const times = new ConnectionTimes(0);
    times.start("Request", 15_000);
    times.observe("Request", 20_000);
    expect(times.getOverdue(LIMITS, 30_000)).to.equal(undefined);
    expect(times.getOverdue(LIMITS, 31_000)).to.equal("Request");
  });

  it("follow limits that change", () => {
    const times = new ConnectionTimes(0);
    const lower = { ...LIMITS, idleTimeoutMs: 1_500 };
    expect(times.getOverdue(LIMITS, 2_500)).to.equal(undefined);
    expect(times.getOverdue(lower, 2_500)).to.equal("Request");
  });

  it("count a head from when it was seen first", () => {
    const times = new ConnectionTimes(0);
    times.observe("Head", 10_000);
    times.observe("Head", 12_000);
    expect(times.getOverdue(LIMITS, 12_999)).to.equal(undefined);
    expect(times.getOverdue(LIMITS, 13_000)).to.equal("Head");
  });

  it("have no limit while an answer is due, or where it is 0", () => {
    const times = new ConnectionTimes(0);
    times.observe("Answer", 0);
    expect(times.getOverdue(LIMITS, 1e9)).to.equal(undefined);
    for (const phase of ["Request", "Head", "Rest"] as const) {
      times.start(phase, 0);
      expect(times.getOverdue(NO_LIMITS, 1e9)).to.equal(undefined);
    }
  });
});
