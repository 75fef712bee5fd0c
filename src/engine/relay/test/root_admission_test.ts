/** Which root requests are refused at their entry. */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import {
  AdmittedShare,
  computeRefusedShare,
  isRootRefused,
} from "../common/root_admission.ts";
import { RootDraws } from "../common/root_draws.ts";

describe("root requests", () => {
  const share = (rank: number, pressure: number) =>
    computeRefusedShare({ rank, lastRank: 2, pressure, admittedShare: 0 });

  it("are all admitted without pressure", () => {
    expect([0, 1, 2].map((rank) => share(rank, 0))).to.deep.equal([0, 0, 0]);
  });

  it("are refused from the least urgent rank on", () => {
    expect(share(2, 0.2)).to.be.above(0);
    expect(share(1, 0.2)).to.equal(0);
    expect(share(1, 0.7)).to.equal(0);
    expect(share(1, 0.75)).to.be.above(0);
    expect(share(0, 0.85)).to.equal(0);
    expect(share(0, 0.9)).to.be.above(0);
    for (let pressure = 0; pressure <= 1; pressure += 0.05) {
      expect(share(2, pressure)).to.be.at.least(share(1, pressure));
      expect(share(1, pressure)).to.be.at.least(share(0, pressure));
    }
  });

  it("are never all refused, whatever their rank", () => {
    const request = { rank: 2, lastRank: 2, pressure: 1, admittedShare: 0 };
    expect(isRootRefused({ ...request, draw: 0.9 })).to.equal(false);
    expect(isRootRefused({ ...request, draw: 0.1 })).to.equal(true);
  });
});

describe("a kind of request of the least urgent rank", () => {
  const RANKS = [0, 1, 2];
  const LAST = 2;
  const ROOTS_PER_S = 200;
  const LENGTH_S = 60;

  /**
   * Plays requests under constant pressure. Returns the admission ratio of the
   * least urgent rank, relative to that of all ranks.
   */
  function play(lastShare: number, pressure: number) {
    const draw = createRandom(1);
    const admitted = new AdmittedShare();
    const started = { last: 0, all: 0 };
    const requested = { last: 0, all: 0 };
    for (let n = 0; n < ROOTS_PER_S * LENGTH_S; n += 1) {
      const isLast = draw() < lastShare;
      const rank = isLast ? LAST : RANKS[Math.floor(draw() * LAST)]!;
      const isRefused = isRootRefused({
        rank,
        lastRank: LAST,
        pressure,
        admittedShare: admitted.value,
        draw: draw(),
      });
      admitted.record(!isRefused, n * 1_000 / ROOTS_PER_S);
      requested.all += 1;
      requested.last += isLast ? 1 : 0;
      started.all += isRefused ? 0 : 1;
      started.last += isLast && !isRefused ? 1 : 0;
    }
    return started.last / requested.last / (started.all / requested.all);
  }

  // Without a lower bound the least urgent callers would be starved.
  it("is let in a quarter as often as all at least, whatever its part", () => {
    for (const lastShare of [0.05, 0.15, 0.3, 0.6, 0.9]) {
      for (const pressure of [0.3, 0.6, 0.7, 0.8, 0.9, 1]) {
        const shown = `${lastShare} of all, pressure ${pressure}`;
        expect(play(lastShare, pressure), shown).to.be.at.least(0.25);
      }
    }
  });
});

describe("repeats of a request", () => {
  const body = new Uint8Array([1, 2, 3]);
  const request = { route: "lookup", target: "/a/7f3a", body };
  const failDraw = () => expect.fail("a repeat was drawn anew");
  let draws: RootDraws;

  beforeEach(() => {
    draws = new RootDraws(failDraw);
  });

  const underPressure = {
    rank: 2,
    lastRank: 2,
    pressure: 0.7,
    admittedShare: 0,
  };

  /** Computes the share of clients admitted in `tries` tries, 20 ms apart. */
  function computeAdmittedShare(tries: number): number {
    const clients = Array.from({ length: 2_000 }, (_, i) => `/a/${i}`);
    const admitted = clients.filter((target) =>
      Array.from({ length: tries }, (_, n) => n * 20).some((nowMs) => {
        const draw = draws.drawFor({ ...request, target }, nowMs);
        return !isRootRefused({ ...underPressure, draw });
      })
    );
    return admitted.length / clients.length;
  }

  it("are answered alike, so that trying often gets nobody in", () => {
    expect(computeAdmittedShare(1)).to.be.within(0.12, 0.18);
    expect(computeAdmittedShare(4)).to.be.within(0.12, 0.18);
  });

  it("are distinguished from other requests by their content", () => {
    const other = new Uint8Array([1, 2, 4]);
    expect(draws.drawFor({ ...request, body: other }, 0))
      .not.to.equal(draws.drawFor(request, 0));
    expect(draws.drawFor(request, 0)).to.equal(draws.drawFor(request, 20));
  });

  it("get a new draw after some seconds, so that none is refused for ever", () => {
    const values = [0, 9_000, 18_000, 27_000]
      .map((nowMs) => draws.drawFor(request, nowMs));
    expect(new Set(values).size).to.equal(4);
  });
});
