/** A short soak with fixed seeds; longer ones are played by hand. */
import { expect } from "chai";
import { runSoak, SHORT_SOAK } from "../soak_run.ts";
import { runTreeSoak, SHORT_TREE_SOAK } from "../tree_soak.ts";

const SEEDS = [1, 2];
/** Both broke the retry budget before repeats were carried down the tree. */
const TREE_SEEDS = [2, 3];
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

describe("a short soak of a call tree", () => {
  for (const seed of TREE_SEEDS) {
    // Guards services against repeats, and kinds of request against starving.
    it(`keeps budgets and serves all kinds: seed ${seed}`, async () => {
      const report = await runTreeSoak({ ...SHORT_TREE_SOAK, seed });
      expect(report.broken).to.deep.equal([]);
      expect(report.answered).to.be.above(0);
    }).timeout(LONGEST_MS);
  }
});
