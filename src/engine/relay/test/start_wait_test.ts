/** How long requests wait at their entry after a start. */
import { expect } from "chai";
import {
  computeMemberWaitEndMs,
  computeRoutesWaitEndMs,
} from "../common/start_wait.ts";

/** Requests of a second in which all nodes come back and know no routes. */
const ARRIVALS = [0, 100, 200, 300, 400, 500].map((arrivedAtMs) => ({
  arrivedAtMs,
  callerTimeoutMs: 5_000,
}));

describe("a request that comes before its entry node knows where to", () => {
  it("outlasts an election, as all that come before it do", () => {
    const routesAtMs = 540;
    const served = ARRIVALS.filter((wait) =>
      computeRoutesWaitEndMs(wait) >= routesAtMs
    );
    expect(served).to.deep.equal(ARRIVALS);
  });

  it("waits for a third of its caller's patience at most", () => {
    const wait = { arrivedAtMs: 1_000, callerTimeoutMs: 600 };
    expect(computeRoutesWaitEndMs(wait)).to.equal(1_200);
    expect(computeMemberWaitEndMs(wait)).to.equal(1_200);
  });

  it("doesn't wait long for members that may never come", () => {
    const wait = { arrivedAtMs: 0, callerTimeoutMs: 60_000 };
    expect(computeMemberWaitEndMs(wait)).to.be.at.most(500);
    expect(computeRoutesWaitEndMs(wait)).to.be.at.most(1_500);
  });
});
