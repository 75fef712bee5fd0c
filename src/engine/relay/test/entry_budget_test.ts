/** Number of retries that the budget of one node allows. */
import { expect } from "chai";
import { EntryBudget } from "../common/entry_budget.ts";
import type { BudgetedCall } from "../common/entry_budget.ts";

const LIMITS = { ratio: 0.2, slack: 80, windowS: 10 };
const LEAF = { nodes: 8, hasDownstreamCalls: false };
const WITH_DOWNSTREAM = { nodes: 8, hasDownstreamCalls: true };
const CALL = { service: "s", route: "r", isNested: true, repeatShare: 0 };
/** Several whole windows after the start of the process. */
const NOW_MS = 101_000;

/** Sends retries at one time until the budget refuses one; counts them. */
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
  const budget = new EntryBudget(LIMITS, { startedAtMs: 0, draw: () => draw });
  for (let n = 0; n < firsts; n += 1) {
    budget.recordFirstAttempt(call, NOW_MS);
  }
  return budget;
}

describe("the retry budget of a node", () => {
  it("allows a share of the first attempts, and its part of the slack", () => {
    expect(countRetries(createBudget(0))).to.equal(5);
    expect(countRetries(createBudget(100))).to.equal(5 + 20);
  });

  it("is smaller if retries make calls downstream", () => {
    const budget = createBudget(100);
    expect(countRetries(budget, { context: WITH_DOWNSTREAM })).to.equal(10);
  });

  it("is smallest for a root request that makes calls", () => {
    const call = { ...CALL, isNested: false };
    const budget = createBudget(100, { call });
    expect(countRetries(budget, { call, context: WITH_DOWNSTREAM })).to.equal(
      4,
    );
  });

  it("is restored as the window moves on", () => {
    const budget = createBudget(0);
    expect(countRetries(budget)).to.equal(5);
    expect(countRetries(budget, { nowMs: NOW_MS + 9_000 })).to.equal(0);
    expect(countRetries(budget, { nowMs: NOW_MS + 12_000 })).to.equal(5);
  });

  // Repeats counted as first attempts would enlarge the budgets downstream.
  it("is spent by calls of repeated runs, which don't widen it", () => {
    const budget = createBudget(100);
    const call = { ...CALL, repeatShare: 1 };
    for (let n = 0; n < 20; n += 1) {
      budget.recordFirstAttempt(call, NOW_MS);
    }
    expect(countRetries(budget)).to.equal(5 + 20 - 20);
    expect(countRetries(budget, { context: WITH_DOWNSTREAM })).to.equal(0);
  });

  // A restart must not make the slack available again within one window.
  it("has no slack until a window after the start of the process", () => {
    const restarted = new EntryBudget(LIMITS, {
      startedAtMs: NOW_MS,
      draw: () => 0,
    });
    expect(countRetries(restarted, { nowMs: NOW_MS + 9_999 })).to.equal(0);
    expect(countRetries(restarted, { nowMs: NOW_MS + 10_000 })).to.equal(5);
  });

  it("removes routes that are no longer called", () => {
    const budget = createBudget(1);
    const other = { ...CALL, service: "other" };
    budget.recordFirstAttempt(other, NOW_MS + 20_000);
    expect(budget.listServices()).to.deep.equal(["other"]);
  });

  it("is separate for each route if retries make calls downstream", () => {
    const budget = createBudget(100, { call: { ...CALL, route: "other" } });
    expect(countRetries(budget, { context: WITH_DOWNSTREAM })).to.equal(0);
  });

  it("is rounded at random to one retry or none if it is less than one", () => {
    const few = createBudget(4, { draw: 0.61 });
    expect(countRetries(few, { context: WITH_DOWNSTREAM })).to.equal(1);
    const fewer = createBudget(4, { draw: 0.59 });
    expect(countRetries(fewer, { context: WITH_DOWNSTREAM })).to.equal(0);
  });
});
