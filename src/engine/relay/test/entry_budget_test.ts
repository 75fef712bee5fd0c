/** How many retries a node allows itself. */
import { expect } from "chai";
import { EntryBudget } from "../common/entry_budget.ts";
import type { BudgetedCall } from "../common/entry_budget.ts";

const TERMS = { ratio: 0.2, slack: 80, windowS: 10 };
const LEAF = { nodes: 8, hasDownstreamCalls: false };
const INNER = { nodes: 8, hasDownstreamCalls: true };
const CALL = { service: "s", route: "r", isNested: true, repeatShare: 0 };
/** Whole windows after the start. */
const NOW_MS = 101_000;

/** Counts the retries that pass in one moment. */
function countRetries(
  budget: EntryBudget,
  { call = CALL, context = LEAF, nowMs = NOW_MS }: {
    readonly call?: BudgetedCall;
    readonly context?: typeof LEAF;
    readonly nowMs?: number;
  } = {},
): number {
  let count = 0;
  while (count < 1_000 && budget.canRetry(call, context, nowMs)) {
    budget.recordRetry(call, nowMs);
    count += 1;
  }
  return count;
}

function createBudget(
  firsts: number,
  { call = CALL, draw = 0 }: {
    readonly call?: BudgetedCall;
    readonly draw?: number;
  } = {},
): EntryBudget {
  const budget = new EntryBudget(TERMS, { startedAtMs: 0, draw: () => draw });
  for (let n = 0; n < firsts; n += 1) {
    budget.recordFirstAttempt(call, NOW_MS);
  }
  return budget;
}

describe("the retry budget of a node", () => {
  it("is a share of the first attempts, and of the slack of all nodes", () => {
    expect(countRetries(createBudget(0))).to.equal(5);
    expect(countRetries(createBudget(100))).to.equal(5 + 20);
  });

  it("is smaller where a retry makes calls that count again below", () => {
    const budget = createBudget(100);
    expect(countRetries(budget, { context: INNER })).to.equal(10);
  });

  it("is smallest where a caller's own request makes calls", () => {
    const call = { ...CALL, isNested: false };
    const budget = createBudget(100, { call });
    expect(countRetries(budget, { call, context: INNER })).to.equal(4);
  });

  it("comes back as its window moves on", () => {
    const budget = createBudget(0);
    expect(countRetries(budget)).to.equal(5);
    expect(countRetries(budget, { nowMs: NOW_MS + 9_000 })).to.equal(0);
    expect(countRetries(budget, { nowMs: NOW_MS + 12_000 })).to.equal(5);
  });

  // Guards services below against repeats that widen their budgets.
  it("is spent by calls of repeated runs, which don't widen it", () => {
    const budget = createBudget(100);
    const call = { ...CALL, repeatShare: 1 };
    for (let n = 0; n < 20; n += 1) {
      budget.recordFirstAttempt(call, NOW_MS);
    }
    expect(countRetries(budget)).to.equal(5 + 20 - 20);
    expect(countRetries(budget, { context: INNER })).to.equal(0);
  });

  // Guards services against a slack that is dealt out with each start.
  it("has no slack until a window after the start of the process", () => {
    const restarted = new EntryBudget(TERMS, {
      startedAtMs: NOW_MS,
      draw: () => 0,
    });
    expect(countRetries(restarted, { nowMs: NOW_MS + 9_999 })).to.equal(0);
    expect(countRetries(restarted, { nowMs: NOW_MS + 10_000 })).to.equal(5);
  });

  it("forgets routes that nobody calls any more", () => {
    const budget = createBudget(1);
    const other = { ...CALL, service: "other" };
    budget.recordFirstAttempt(other, NOW_MS + 20_000);
    expect(budget.listServices()).to.deep.equal(["other"]);
  });

  it("is kept apart by route where retries make calls", () => {
    const budget = createBudget(100, { call: { ...CALL, route: "other" } });
    expect(countRetries(budget, { context: INNER })).to.equal(0);
  });

  it("gives part of the nodes one retry where its share is less", () => {
    const few = createBudget(4, { draw: 0.61 });
    expect(countRetries(few, { context: INNER })).to.equal(1);
    const fewer = createBudget(4, { draw: 0.59 });
    expect(countRetries(fewer, { context: INNER })).to.equal(0);
  });
});
