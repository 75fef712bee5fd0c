/** How many retries a node allows itself. */
import { expect } from "chai";
import { EntryBudget } from "../common/entry_budget.ts";

const TERMS = { ratio: 0.2, slack: 80, windowS: 10 };
const LEAF = { nodes: 8, isLeaf: true };

/** Counts the retries that pass in one moment. */
function countRetries(
  budget: EntryBudget,
  call: typeof LEAF,
  nowMs = 1_000,
): number {
  let count = 0;
  while (count < 1_000 && budget.canRetry("s", call, nowMs)) {
    budget.noteRetry("s", nowMs);
    count += 1;
  }
  return count;
}

function createBudget(firsts: number): EntryBudget {
  const budget = new EntryBudget(TERMS);
  for (let n = 0; n < firsts; n += 1) {
    budget.noteFirst("s", 0, 1_000);
  }
  return budget;
}

describe("the retry budget of a node", () => {
  it("is a share of the first attempts, and of the slack of all nodes", () => {
    expect(countRetries(createBudget(0), LEAF)).to.equal(5);
    expect(countRetries(createBudget(100), LEAF)).to.equal(5 + 12);
  });

  it("is smaller where a retry makes calls that count again below", () => {
    const call = { ...LEAF, isLeaf: false };
    expect(countRetries(createBudget(100), call)).to.equal(5 + 5);
  });

  it("comes back as its window moves on", () => {
    const budget = createBudget(0);
    expect(countRetries(budget, LEAF, 1_000)).to.equal(5);
    expect(countRetries(budget, LEAF, 10_000)).to.equal(0);
    expect(countRetries(budget, LEAF, 13_000)).to.equal(5);
  });
});
