/** Who is refused at a root. */
import { expect } from "chai";
import {
  computeRefusedShare,
  drawForRequest,
  isRootRefused,
} from "../common/root_admission.ts";

describe("roots", () => {
  const share = (rank: number, pressure: number) =>
    computeRefusedShare({ rank, lastRank: 2, pressure });

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
    const request = { rank: 2, lastRank: 2, pressure: 1 };
    expect(isRootRefused({ ...request, draw: 0.9 })).to.equal(false);
    expect(isRootRefused({ ...request, draw: 0.1 })).to.equal(true);
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
        return !isRootRefused({ rank: 2, lastRank: 2, pressure: 0.7, draw });
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
