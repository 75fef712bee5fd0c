/** Who is refused at a root. */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import {
  AdmittedShare,
  computeRefusedShare,
  drawForRequest,
  isRootRefused,
} from "../common/root_admission.ts";

describe("roots", () => {
  const share = (rank: number, pressure: number) =>
    computeRefusedShare({ rank, lastRank: 2, pressure, admittedShare: 0 });

  it("are all begun without pressure", () => {
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

  it("are never all refused, of whatever rank", () => {
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

  /** Part of it that is let in, and of all, under a lasting pressure. */
  function play(lastPart: number, pressure: number) {
    const draw = createRandom(1);
    const admitted = new AdmittedShare();
    const begun = { last: 0, all: 0 };
    const asked = { last: 0, all: 0 };
    for (let n = 0; n < ROOTS_PER_S * LENGTH_S; n += 1) {
      const isLast = draw() < lastPart;
      const rank = isLast ? LAST : RANKS[Math.floor(draw() * LAST)]!;
      const isRefused = isRootRefused({
        rank,
        lastRank: LAST,
        pressure,
        admittedShare: admitted.value,
        draw: draw(),
      });
      admitted.record(!isRefused, n * 1_000 / ROOTS_PER_S);
      asked.all += 1;
      asked.last += isLast ? 1 : 0;
      begun.all += isRefused ? 0 : 1;
      begun.last += isLast && !isRefused ? 1 : 0;
    }
    return begun.last / asked.last / (begun.all / asked.all);
  }

  // Guards the least urgent callers against being starved.
  it("is let in a quarter as often as all at least, whatever its part", () => {
    for (const lastPart of [0.05, 0.15, 0.3, 0.6, 0.9]) {
      for (const pressure of [0.3, 0.6, 0.7, 0.8, 0.9, 1]) {
        const shown = `${lastPart} of all, pressure ${pressure}`;
        expect(play(lastPart, pressure), shown).to.be.at.least(0.25);
      }
    }
  });
});

describe("repeats of a request", () => {
  const body = new Uint8Array([1, 2, 3]);
  const request = { route: "lookup", target: "/a/7f3a", body };

  const pressed = { rank: 2, lastRank: 2, pressure: 0.7, admittedShare: 0 };

  /** Share of clients that get in with so many tries a second apart. */
  function countAdmitted(tries: number): number {
    const clients = Array.from({ length: 2_000 }, (_, i) => `/a/${i}`);
    const admitted = clients.filter((target) =>
      Array.from({ length: tries }, (_, n) => n * 20).some((nowMs) => {
        const draw = drawForRequest({ ...request, target }, nowMs);
        return !isRootRefused({ ...pressed, draw });
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
