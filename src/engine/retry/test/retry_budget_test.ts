/** The retry budget of a node holds in every window. */
import { expect } from "chai";
import fc from "fast-check";
import {
  BUDGET_FLOOR,
  BUDGET_SHARE,
  BUDGET_WINDOW_S,
  canSendRetry,
  EMPTY_BUDGET,
  reduceRetryBudget,
} from "../common/retry_budget.ts";

describe("retry budget", () => {
  it("holds over every window, however attempts and retries come", () => {
    const step = fc.record({
      afterMs: fc.integer({ min: 0, max: 400 }),
      wantsRetry: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
      let state = EMPTY_BUDGET;
      let nowMs = 0;
      const sent: { second: number; isRetry: boolean }[] = [];
      for (const { afterMs, wantsRetry } of steps) {
        nowMs += afterMs;
        if (wantsRetry && !canSendRetry(state, nowMs)) {
          continue;
        }
        const type = wantsRetry ? "RetrySent" : "FirstAttemptSent";
        state = reduceRetryBudget(state, { type }, nowMs).state;
        const second = Math.floor(nowMs / 1_000);
        sent.push({ second, isRetry: wantsRetry });
        if (wantsRetry) {
          const inWindow = sent.filter((one) =>
            one.second > second - BUDGET_WINDOW_S
          );
          const retries = inWindow.filter((one) => one.isRetry).length;
          const firsts = inWindow.length - retries;
          expect(retries).to.be.at.most(BUDGET_FLOOR + BUDGET_SHARE * firsts);
        }
      }
      expect(state.slices.length).to.be.at.most(BUDGET_WINDOW_S);
    }));
  });
});
