/** Decisions on root requests of one content, of one client and of many. */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import { RootDecisions } from "../common/root_decision.ts";
import type { RootDecisionsOptions } from "../common/root_decision.ts";
import { DRAW_PERIOD_MS, RootDraws } from "../common/root_draws.ts";
import { createEntryRequest } from "./requests.ts";

const SERVICE = "warehouse";
const CLIENTS = 200;
const REQUESTS_PER_SECOND = 25;
const LENGTH_MS = 3 * DRAW_PERIOD_MS;
const WINDOW_MS = 1_000;

type PathState = RootDecisionsOptions["members"];

/** A path under the same pressure all the time. */
const UNDER_PRESSURE: PathState = {
  findBottleneck: () => undefined,
  computePathPressure: () => ({ pressure: 0.6, reportedAtMs: 0 }),
  describePressure: () => ({
    path: "own",
    member: "a:1",
    memberPressure: 0.6,
    ageMs: 0,
    freshMembers: 1,
    failingMembers: 0,
    idleSlots: 0,
  }),
};

/** A path whose bottleneck has capacity for half of the work asked for. */
const SHORT_OF_CAPACITY: PathState = {
  ...UNDER_PRESSURE,
  findBottleneck: () => ({
    service: SERVICE,
    ratio: 0.5,
    costMs: 10,
    reportedAtMs: 0,
  }),
};

function createDecisions(members: PathState): RootDecisions {
  return new RootDecisions({
    members,
    getLastRank: () => 0,
    draw: createRandom(1),
  });
}

function isAdmitted(
  decisions: RootDecisions,
  target: string,
  arrivedAtMs: number,
): boolean {
  const request = createEntryRequest({ target, arrivedAtMs });
  return decisions.decide(request, SERVICE).type === "Admit";
}

/** Computes the share of requests for one resource admitted in each second. */
function listAdmittedShares(members: PathState): readonly number[] {
  const decisions = createDecisions(members);
  const gapMs = 1_000 / REQUESTS_PER_SECOND;
  return Array.from({ length: LENGTH_MS / WINDOW_MS }, (_, window) => {
    const admitted = Array.from(
      { length: REQUESTS_PER_SECOND },
      (_, index) =>
        isAdmitted(decisions, "/1", window * WINDOW_MS + index * gapMs),
    ).filter(Boolean);
    return admitted.length / REQUESTS_PER_SECOND;
  });
}

describe("the decisions on root requests", () => {
  const paths = [
    ["under pressure", UNDER_PRESSURE],
    ["short of capacity", SHORT_OF_CAPACITY],
  ] as const;
  for (const [name, members] of paths) {
    // Guards against clients of one popular resource that are all refused for
    // seconds, and then all admitted.
    it(`admit a share of the requests for one resource, ${name}`, () => {
      const [, ...shares] = listAdmittedShares(members);
      expect(Math.min(...shares)).to.be.at.least(0.2);
      expect(Math.max(...shares)).to.be.at.most(0.9);
    });

    // Guards against a client that gets in by repeating its request.
    it(`are the same for the repeats of one client, ${name}`, () => {
      const decisions = createDecisions(members);
      const once = Array.from({ length: CLIENTS }, (_, client) => {
        const repeats = Array.from(
          { length: 4 },
          (_, index) => isAdmitted(decisions, `/${client}`, index * 20),
        );
        expect(new Set(repeats).size).to.equal(1);
        return repeats[0];
      });
      expect(once.filter(Boolean).length / CLIENTS).to.be.within(0.35, 0.65);
    });
  }
});

describe("the draws of root requests", () => {
  // Guards against memory that grows with the contents that callers make up.
  it("count a bounded number of contents", () => {
    const failDraw = () => expect.fail("a content too many was counted");
    const draws = new RootDraws(failDraw);
    const body = new Uint8Array();
    const drawFor = (target: string) =>
      draws.drawFor({ route: "lookup", target, body }, 0);
    for (let n = 0; n < 10_000; n += 1) {
      drawFor(`/${n}`);
    }
    const values = Array.from({ length: 100 }, () => drawFor("/popular"));
    expect(new Set(values).size).to.equal(1);
    expect(values[0]).to.be.within(0, 1);
  });
});
