/** What decides at a root: pressure, and who is refused. */
import { expect } from "chai";
import {
  createPressure,
  noteAsked,
  updatePressure,
} from "../common/pressure.ts";
import {
  computeRefusedShare,
  isRootRefused,
} from "../common/root_admission.ts";

describe("pressure", () => {
  /** Offers `demand` times the room; a queue stands while it is exceeded. */
  function settle(demand: number, seconds: number): readonly number[] {
    const state = createPressure(0);
    const asked: number[] = [];
    for (let nowMs = 250; nowMs <= seconds * 1_000; nowMs += 250) {
      const share = demand * state.admitted;
      noteAsked(state, share * 10 * 250);
      const oldestWaitMs = share > 1 ? 50 : 0;
      updatePressure(state, { limit: 10, oldestWaitMs, nowMs });
      asked.push(share);
    }
    return asked;
  }

  it("keeps what is begun near the room", () => {
    for (const demand of [1.5, 2, 4]) {
      const last = settle(demand, 20).slice(-20);
      const mean = last.reduce((sum, share) => sum + share, 0) / last.length;
      expect(mean, String(demand)).to.be.within(0.9, 1.05);
    }
  });

  it("isn't there while no queue stands", () => {
    expect(settle(0.99, 10).at(-1)).to.equal(0.99);
  });

  it("passes over a queue that empties within the window", () => {
    const state = createPressure(0);
    const input = { limit: 10, nowMs: 100 };
    updatePressure(state, { ...input, oldestWaitMs: 0 });
    updatePressure(state, { ...input, oldestWaitMs: 200, nowMs: 250 });
    expect(state.admitted).to.equal(1);
  });
});

describe("roots", () => {
  const share = (rank: number, pressure: number) =>
    computeRefusedShare({ rank, lastRank: 2, pressure });

  it("are all begun without pressure", () => {
    expect([0, 1, 2].map((rank) => share(rank, 0))).to.deep.equal([0, 0, 0]);
  });

  it("are refused from the least urgent rank on", () => {
    expect(share(2, 0.2)).to.be.above(0);
    expect(share(1, 0.2)).to.equal(0);
    expect(share(1, 0.5)).to.be.above(0);
    expect(share(0, 0.5)).to.equal(0);
    for (let pressure = 0; pressure <= 1; pressure += 0.05) {
      expect(share(2, pressure)).to.be.at.least(share(1, pressure));
      expect(share(1, pressure)).to.be.at.least(share(0, pressure));
    }
  });

  it("are never all refused, of whatever rank", () => {
    const request = { rank: 2, lastRank: 2, pressure: 1 };
    expect(isRootRefused({ ...request, draw: 0.99 })).to.equal(false);
    expect(isRootRefused({ ...request, draw: 0.1 })).to.equal(true);
  });
});
