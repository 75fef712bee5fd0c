/** Division of a bottleneck service's capacity among root requests. */
import { expect } from "chai";
import { planRootShares, RootPlan } from "../common/root_plan.ts";
import type { RootDemand } from "../common/root_plan.ts";

function createDemand(
  routeRank: number,
  costMs: number,
  offered: number,
): RootDemand {
  return { rank: routeRank, routeRank, costMs, offered };
}

/** A bottleneck asked for 1.7 times its capacity by three kinds. */
const DEMANDS: readonly RootDemand[] = [
  createDemand(0, 62, 22),
  createDemand(1, 312, 368),
  createDemand(2, 156, 73),
];

function computeAdmitted(
  demands: readonly RootDemand[],
  ratio: number,
): number {
  const shares = planRootShares(demands, ratio);
  return demands.reduce(
    (sum, { offered }, index) => sum + offered * shares[index]!,
    0,
  );
}

describe("the plan of root requests", () => {
  // Guards against more work begun than the bottleneck can end, and less.
  it("admits the ratio of the slot time", () => {
    const offered = DEMANDS.reduce((sum, demand) => sum + demand.offered, 0);
    for (const ratio of [0.05, 0.3, 0.57, 0.9, 0.99]) {
      expect(computeAdmitted(DEMANDS, ratio) / offered).to.be.closeTo(
        ratio,
        1e-9,
      );
    }
    expect(planRootShares(DEMANDS, 1.2)).to.deep.equal([1, 1, 1]);
  });

  // Guards against urgent requests that are refused before less urgent ones.
  it("admits the most urgent whole, and starves none", () => {
    const [urgent, middle, last] = planRootShares(DEMANDS, 0.57);
    expect(urgent).to.equal(1);
    expect(last).to.be.at.most(middle! + 0.05);
    expect(last).to.be.above(0.57 / 4);
  });

  // Guards against workspaces whose rank counts less than that of a route.
  it("prefers the workspaces of a more urgent rank", () => {
    const [first, second] = planRootShares([
      { rank: 1, routeRank: 1, costMs: 100, offered: 50 },
      { rank: 4, routeRank: 1, costMs: 100, offered: 50 },
    ], 0.6);
    expect(first).to.be.above(second!);
    expect(second).to.be.at.least(0.48);
  });

  // Guards against a route refused for an edge that is an estimation error.
  it("admits what costs little first among equal ranks", () => {
    const [cheap, costly] = planRootShares([
      createDemand(1, 5, 5),
      createDemand(1, 312, 368),
    ], 0.6);
    expect(cheap).to.equal(1);
    expect(costly).to.be.within(0.59, 0.6);
  });

  it("follows the demand of an entry node", () => {
    const plan = new RootPlan();
    const ask = (rank: number, costMs: number, nowMs: number) =>
      plan.computeShare(
        {
          service: "s",
          route: `r${rank}`,
          rank,
          routeRank: rank,
          costMs,
          ratio: 0.5,
        },
        nowMs,
      );
    let urgent = 0;
    let last = 0;
    for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
      urgent = ask(0, 50, nowMs);
      last = ask(1, 100, nowMs);
    }
    expect(urgent).to.be.closeTo(1, 0.001);
    expect(last).to.be.closeTo(0.25, 0.01);
  });

  it("admits what costs a service nothing", () => {
    const request = {
      service: "s",
      route: "r",
      rank: 3,
      routeRank: 3,
      costMs: 0,
      ratio: 0.1,
    };
    expect(new RootPlan().computeShare(request, 0)).to.equal(1);
  });
});
