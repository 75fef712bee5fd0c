/** Who is refused at a root. */
import { expect } from "chai";
import {
  computeRefusedShare,
  drawForRequest,
  isRootRefused,
} from "../common/root_admission.ts";
import type { RankDemand } from "../common/root_admission.ts";
import { RootDemand } from "../common/root_demand.ts";

/**
 * A surge of 1.7: lookups and transfers make eight calls each of the narrow
 * service, views go there themselves; some 480 places for what asks for 931.
 */
const SURGE: readonly RankDemand[] = [
  { rank: 2, work: 462 },
  { rank: 1, work: 70 },
  { rank: 0, work: 399 },
];
const PLACES = 480;
/** Requests that ask for as much each, of three ranks. */
const EVEN: readonly RankDemand[] = [0, 1, 2]
  .map((rank) => ({ rank, work: 100 }));
const MAX_SHARE = 0.85;

describe("roots", () => {
  const share = (
    rank: number,
    pressure: number,
    demands: readonly RankDemand[] = EVEN,
  ) => computeRefusedShare({ rank, pressure, demands });

  it("are all begun without pressure", () => {
    expect([0, 1, 2].map((rank) => share(rank, 0))).to.deep.equal([0, 0, 0]);
  });

  it("are refused from the least urgent rank on", () => {
    expect(share(2, 0.2)).to.be.above(0);
    expect(share(1, 0.2)).to.equal(0);
    expect(share(1, 0.5)).to.be.above(0);
    expect(share(0, 0.5)).to.equal(0);
    expect(share(0, 0.9)).to.be.above(0);
    for (let pressure = 0; pressure <= 1; pressure += 0.05) {
      expect(share(2, pressure)).to.be.at.least(share(1, pressure));
      expect(share(1, pressure)).to.be.at.least(share(0, pressure));
    }
  });

  it("make as much room for the same pressure, whatever the mix is", () => {
    for (const demands of [EVEN, SURGE]) {
      const all = demands.reduce((sum, { work }) => sum + work, 0);
      for (const pressure of [0.1, 0.4, 0.7, 1]) {
        const room = demands.reduce(
          (sum, { rank, work }) => sum + work * share(rank, pressure, demands),
          0,
        );
        expect(room / all).to.be.closeTo(pressure * MAX_SHARE, 0.001);
      }
    }
  });

  it("that make next to no room are not given up for it, in a surge", () => {
    const all = SURGE.reduce((sum, { work }) => sum + work, 0);
    const pressure = (all - PLACES) / all / MAX_SHARE;
    expect(share(2, pressure, SURGE)).to.equal(MAX_SHARE);
    expect(share(1, pressure, SURGE)).to.be.below(0.15);
    expect(share(0, pressure, SURGE)).to.equal(share(1, pressure, SURGE));
  });

  it("are never all refused, of whatever rank", () => {
    const request = { rank: 2, demands: EVEN, pressure: 1 };
    expect(isRootRefused({ ...request, draw: 0.9 })).to.equal(false);
    expect(isRootRefused({ ...request, draw: 0.1 })).to.equal(true);
  });

  it("of an entry that has seen none yet are refused by the pressure", () => {
    expect(share(1, 0.5, [])).to.be.closeTo(0.5 * MAX_SHARE, 0.001);
  });
});

describe("what roots ask for", () => {
  it("is counted by rank, as work of the scarce service a second", () => {
    const demand = new RootDemand();
    for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
      demand.note(2, 440, nowMs);
      demand.note(1, 88, nowMs);
    }
    const found = new Map(
      demand.list().map(({ rank, work }) => [rank, work]),
    );
    expect(found.get(2)).to.be.closeTo(440 * 20, 440);
    expect(found.get(1)).to.be.closeTo(88 * 20, 88);
  });

  it("is forgotten once nothing asks any more", () => {
    const demand = new RootDemand();
    demand.note(2, 440, 0);
    demand.note(1, 88, 60_000);
    demand.note(1, 88, 120_000);
    expect(demand.list().map(({ rank }) => rank)).not.to.include(2);
  });
});

describe("repeats of a request", () => {
  const body = new Uint8Array([1, 2, 3]);
  const request = { route: "lookup", target: "/a/7f3a", body };

  /** Share of clients that get in with so many tries a second apart. */
  function countAdmitted(tries: number): number {
    const clients = Array.from({ length: 2_000 }, (_, i) => `/a/${i}`);
    const admitted = clients.filter((target) =>
      Array.from({ length: tries }, (_, n) => n * 20).some((nowMs) => {
        const draw = drawForRequest({ ...request, target }, nowMs);
        const demands = [{ rank: 2, work: 1 }];
        return !isRootRefused({ rank: 2, demands, pressure: 1, draw });
      })
    );
    return admitted.length / clients.length;
  }

  it("are answered alike, so that trying often gets nobody in", () => {
    expect(countAdmitted(1)).to.be.within(0.12, 0.18);
    expect(countAdmitted(4)).to.be.within(0.12, 0.18);
  });

  it("are told from others by what they carry", () => {
    const other = new Uint8Array([1, 2, 4]);
    expect(drawForRequest({ ...request, body: other }, 0))
      .not.to.equal(drawForRequest(request, 0));
    expect(drawForRequest(request, 0)).to.equal(drawForRequest(request, 20));
  });

  it("are drawn anew after some seconds: nobody is refused for ever", () => {
    const draws = [0, 9_000, 18_000, 27_000]
      .map((nowMs) => drawForRequest(request, nowMs));
    expect(new Set(draws).size).to.equal(4);
  });
});
