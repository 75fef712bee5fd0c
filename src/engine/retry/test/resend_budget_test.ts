/** Resends by callers: recognised, and held to a budget. */
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

class Edge {
  nowMs = START_MS;
  #state = EMPTY_RESEND_BUDGETS;

  /** Whether the request passes. */
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
  it("refuses a resend beyond it, and no first one", () => {
    const edge = new Edge();
    for (let n = 0; n < 100; n += 1) {
      expect(edge.receive("a", `${n}`)).to.equal(true);
    }
    const passed = Array.from({ length: 100 }, () => edge.receive("a", "7"));
    const allowed = RESEND_FLOOR + RESEND_SHARE * 100;
    expect(passed.filter((isPassed) => isPassed)).to.have.length(allowed);
    expect(passed.lastIndexOf(true)).to.equal(allowed - 1);
    expect(edge.receive("a", "new")).to.equal(true);
  });

  it("is each caller's own, and so are the ids", () => {
    const edge = new Edge();
    for (let n = 0; n < 50; n += 1) {
      edge.receive("a", "7");
    }
    expect(edge.receive("a", "7")).to.equal(false);
    for (let n = 0; n <= RESEND_FLOOR; n += 1) {
      expect(edge.receive("b", "7")).to.equal(true);
    }
  });

  it("is there again after two windows, and an id stays known till then", () => {
    const edge = new Edge();
    for (let n = 0; n < 50; n += 1) {
      edge.receive("a", "7");
    }
    edge.nowMs += RESEND_WINDOW_MS;
    expect(edge.receive("a", "7")).to.equal(false);
    edge.nowMs += RESEND_WINDOW_MS;
    const passed = Array.from({ length: 50 }, () => edge.receive("a", "7"));
    expect(passed.filter((isPassed) => isPassed)).to.have.length(RESEND_FLOOR);
  });

  it("never refuses a first one, and holds over each window", () => {
    const step = fc.record({
      afterMs: fc.integer({ min: 0, max: 100 }),
      caller: fc.constantFrom("a", "b"),
      id: fc.integer({ min: 0, max: 30 }),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 200, maxLength: 400 }),
        (steps) => {
          const edge = new Edge();
          const seen = new Set<string>();
          const passed: { atMs: number; caller: string; isFirst: boolean }[] =
            [];
          for (const { afterMs, caller, id } of steps) {
            edge.nowMs += afterMs;
            const { nowMs: atMs } = edge;
            const isFirst = !seen.has(`${caller} ${id}`);
            seen.add(`${caller} ${id}`);
            const isPassed = edge.receive(caller, `${id}`);
            expect(isPassed || !isFirst).to.equal(true);
            if (isPassed) {
              passed.push({ atMs, caller, isFirst });
            }
            // Ids that were quiet for two windows may count as first ones again.
            const recent = passed.filter((one) =>
              one.caller === caller && one.atMs > atMs - RESEND_WINDOW_MS
            );
            const resends = recent.filter((one) => !one.isFirst).length;
            const most = RESEND_FLOOR + 31 + RESEND_SHARE * 2 * 31;
            expect(resends).to.be.at.most(most);
          }
        },
      ),
    );
  });

  it("remembers a bounded number of ids, and refuses none for it", () => {
    const edge = new Edge();
    for (let n = 0; n < 3 * MAX_GENERATION_IDS; n += 1) {
      expect(edge.receive(`caller-${n % 100}`, `${n}`)).to.equal(true);
      expect(Math.max(...edge.idCounts)).to.be.at.most(MAX_GENERATION_IDS);
    }
  });
});
