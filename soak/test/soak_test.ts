/** A short soak with fixed seeds; longer ones are played by hand. */
import { expect } from "chai";
import { runSoak, SHORT_SOAK } from "../soak_run.ts";

const SEEDS = [1, 2];
const LONGEST_MS = 90_000;

describe("a short soak", () => {
  for (const seed of SEEDS) {
    // Guards callers against restarts, stops and changes that overlap.
    it(`keeps what callers are promised: seed ${seed}`, async () => {
      const { broken, answered } = await runSoak({ ...SHORT_SOAK, seed });
      expect(broken).to.deep.equal([]);
      expect(answered).to.be.above(0);
    }).timeout(LONGEST_MS);
  }
});
