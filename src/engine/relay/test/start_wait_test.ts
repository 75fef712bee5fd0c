/** Time limits of requests that wait at their entry after its start. */
import { expect } from "chai";
import {
  computeMemberWaitEndMs,
  computeRoutesWaitEndMs,
} from "../common/start_wait.ts";

/** Requests that arrive after a restart of all nodes, before any routes. */
const ARRIVALS = [0, 100, 200, 300, 400, 500].map((arrivedAtMs) => ({
  arrivedAtMs,
  callerTimeoutMs: 5_000,
}));

describe("a request that arrives before its entry node knows the routes", () => {
  it("waits longer than an election takes, as do all requests before it", () => {
    const routesAtMs = 540;
    const served = ARRIVALS.filter((wait) =>
      computeRoutesWaitEndMs(wait) >= routesAtMs
    );
    expect(served).to.deep.equal(ARRIVALS);
  });

  it("waits for a third of its caller's timeout at most", () => {
    const wait = { arrivedAtMs: 1_000, callerTimeoutMs: 600 };
    expect(computeRoutesWaitEndMs(wait)).to.equal(1_200);
    expect(computeMemberWaitEndMs(wait)).to.equal(1_200);
  });

  it("doesn't wait long for members that may never be announced", () => {
    const wait = { arrivedAtMs: 0, callerTimeoutMs: 60_000 };
    expect(computeMemberWaitEndMs(wait)).to.be.at.most(500);
    expect(computeRoutesWaitEndMs(wait)).to.be.at.most(1_500);
  });
});
