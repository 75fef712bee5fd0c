/** A node's retry budget: a small share of the first attempts it sends. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** Attempts that were sent in one second. */
interface BudgetSlice {
  /** Whole seconds of the wall clock. */
  readonly second: number;
  readonly firsts: number;
  readonly retries: number;
}

/** Attempts of the window, oldest second first. */
export interface RetryBudget {
  readonly slices: readonly BudgetSlice[];
}

/** What counts. */
export type RetryBudgetEvent =
  | { readonly type: "FirstAttemptSent" }
  | { readonly type: "RetrySent" };

/** Length of the sliding window, in seconds. */
export const BUDGET_WINDOW_S = 10;
/** Retries as a share of the first attempts of the window. */
export const BUDGET_SHARE = 0.1;
/** Retries that a window has in any case, so that a quiet node can retry. */
export const BUDGET_FLOOR = 10;

/** No attempt was sent yet. */
export const EMPTY_BUDGET: RetryBudget = { slices: [] };

/** Counts an attempt. The budget asks nothing of the I/O layer. */
export function reduceRetryBudget(
  state: RetryBudget,
  event: RetryBudgetEvent,
  nowMs: number,
): Reduction<RetryBudget, never> {
  const second = Math.floor(nowMs / 1_000);
  const kept = listSlices(state, second);
  const last = kept.at(-1);
  const isSame = last?.second === second;
  const current = isSame ? last : { second, firsts: 0, retries: 0 };
  const earlier = isSame ? kept.slice(0, -1) : kept;
  const isFirst = event.type === "FirstAttemptSent";
  const counted: BudgetSlice = {
    second,
    firsts: current.firsts + (isFirst ? 1 : 0),
    retries: current.retries + (isFirst ? 0 : 1),
  };
  return createReduction({ slices: [...earlier, counted] });
}

/**
 * Whether one more retry stays within the budget: over any window,
 * `retries <= BUDGET_FLOOR + BUDGET_SHARE * firsts`.
 */
export function canSendRetry(state: RetryBudget, nowMs: number): boolean {
  const slices = listSlices(state, Math.floor(nowMs / 1_000));
  const firsts = slices.reduce((sum, slice) => sum + slice.firsts, 0);
  const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
  return retries + 1 <= BUDGET_FLOOR + BUDGET_SHARE * firsts;
}

function listSlices(
  state: RetryBudget,
  second: number,
): readonly BudgetSlice[] {
  return state.slices.filter((slice) =>
    slice.second > second - BUDGET_WINDOW_S
  );
}
