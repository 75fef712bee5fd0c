/** Resends of callers are detected, and limited by a budget. */
import { expect } from "chai";
import fc from "fast-check";
import {
  EMPTY_RESEND_BUDGETS,
  MAX_GENERATION_IDS,
  reduceResendBudget,
  RESEND_FLOOR,
  RESEND_SHARE,
  RESEND_WINDOW_MS,
} from "../common/resend_budget.ts";

const START_MS = 1_000_000;

/** Applies requests to the budget at a settable time. */
class BudgetFixture {
  nowMs = START_MS;
  #state = EMPTY_RESEND_BUDGETS;

  /** Returns whether the request is not refused. */
  receive(caller: string, id: string): boolean {
    const request = { type: "RequestReceived", caller, id } as const;
    const step = reduceResendBudget(this.#state, request, this.nowMs);
    this.#state = step.state;
    return step.effects.length === 0;
  }

  get idCounts(): readonly number[] {
    return [this.#state.current.idCount, this.#state.previous.idCount];
  }
}

describe("budget of a caller's resends", () => {
  it("refuses a resend that exceeds it, and no first request", () => {
    const budget = new BudgetFixture();
    for (let n = 0; n < 100; n += 1) {
      expect(budget.receive("a", `${n}`)).to.equal(true);
    }
    const passed = Array.from({ length: 100 }, () => budget.receive("a", "7"));
    const allowed = RESEND_FLOOR + RESEND_SHARE * 100;
    expect(passed.filter((isPassed) => isPassed)).to.have.length(allowed);
    expect(passed.lastIndexOf(true)).to.equal(allowed - 1);
    expect(budget.receive("a", "new")).to.equal(true);
  });

  it("is separate for each caller, and so are the ids", () => {
    const budget = new BudgetFixture();
    for (let n = 0; n < 50; n += 1) {
      budget.receive("a", "7");
    }
    expect(budget.receive("a", "7")).to.equal(false);
    for (let n = 0; n <= RESEND_FLOOR; n += 1) {
      expect(budget.receive("b", "7")).to.equal(true);
    }
  });

  it("is restored after two windows; until then, ids are retained", () => {
    const budget = new BudgetFixture();
    for (let n = 0; n < 50; n += 1) {
      budget.receive("a", "7");
    }
    budget.nowMs += RESEND_WINDOW_MS;
    expect(budget.receive("a", "7")).to.equal(false);
    budget.nowMs += RESEND_WINDOW_MS;
    const passed = Array.from({ length: 50 }, () => budget.receive("a", "7"));
    expect(passed.filter((isPassed) => isPassed)).to.have.length(RESEND_FLOOR);
  });

  it("never refuses a first request, and holds in each window", () => {
    const step = fc.record({
      afterMs: fc.integer({ min: 0, max: 100 }),
      caller: fc.constantFrom("a", "b"),
      id: fc.integer({ min: 0, max: 30 }),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 200, maxLength: 400 }),
        (steps) => {
          const budget = new BudgetFixture();
          const seen = new Set<string>();
          const passed: { atMs: number; caller: string; isFirst: boolean }[] =
            [];
          for (const { afterMs, caller, id } of steps) {
            budget.nowMs += afterMs;
            const { nowMs: atMs } = budget;
            const isFirst = !seen.has(`${caller} ${id}`);
            seen.add(`${caller} ${id}`);
            const isPassed = budget.receive(caller, `${id}`);
            expect(isPassed || !isFirst).to.equal(true);
            if (isPassed) {
              passed.push({ atMs, caller, isFirst });
            }
            // An id without requests for two windows may count as a first one.
            const recent = passed.filter((one) =>
              one.caller === caller && one.atMs > atMs - RESEND_WINDOW_MS
            );
            const resends = recent.filter((one) => !one.isFirst).length;
            const maxResends = RESEND_FLOOR + 31 + RESEND_SHARE * 2 * 31;
            expect(resends).to.be.at.most(maxResends);
          }
        },
      ),
    );
  });

  it("retains a bounded number of ids, and refuses no first request", () => {
    const budget = new BudgetFixture();
    for (let n = 0; n < 3 * MAX_GENERATION_IDS; n += 1) {
      expect(budget.receive(`caller-${n % 100}`, `${n}`)).to.equal(true);
      expect(Math.max(...budget.idCounts)).to.be.at.most(MAX_GENERATION_IDS);
    }
  });
});
