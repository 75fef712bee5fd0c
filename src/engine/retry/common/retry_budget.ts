/** Retry budget of a node: a small share of the first attempts it sends. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** Attempts sent in one second. */
interface BudgetSlice {
  /** Steady clock in whole seconds. */
  readonly second: number;
  readonly firsts: number;
  readonly retries: number;
}

/** Attempts sent in the window. */
export interface RetryBudget {
  /** Oldest second first. */
  readonly slices: readonly BudgetSlice[];
}

/** An attempt that counts towards the budget. */
export type RetryBudgetEvent =
  | { readonly type: "FirstAttemptSent" }
  | { readonly type: "RetrySent" };

/** Length of the sliding window, in seconds. */
export const BUDGET_WINDOW_S = 10;
/** Retries allowed, as a share of the first attempts in the window. */
export const BUDGET_SHARE = 0.1;
/** Retries allowed in any window, so that a node with few calls can retry. */
export const BUDGET_FLOOR = 10;

/** State before any attempt. */
export const EMPTY_BUDGET: RetryBudget = { slices: [] };

/** Records an attempt. There are no effects. */
export function reduceRetryBudget(
  state: RetryBudget,
  event: RetryBudgetEvent,
  nowMs: number,
): Reduction<RetryBudget, never> {
  const second = Math.floor(nowMs / 1_000);
  const slices = listWindowSlices(state, second);
  const last = slices.at(-1);
  const isSame = last?.second === second;
  const current = isSame ? last : { second, firsts: 0, retries: 0 };
  const earlier = isSame ? slices.slice(0, -1) : slices;
  const isFirst = event.type === "FirstAttemptSent";
  const counted: BudgetSlice = {
    second,
    firsts: current.firsts + (isFirst ? 1 : 0),
    retries: current.retries + (isFirst ? 0 : 1),
  };
  return createReduction({ slices: [...earlier, counted] });
}

/**
 * Whether another retry is within the budget. In any window,
 * `retries <= BUDGET_FLOOR + BUDGET_SHARE * firsts`.
 */
export function canSendRetry(state: RetryBudget, nowMs: number): boolean {
  const slices = listWindowSlices(state, Math.floor(nowMs / 1_000));
  const firsts = slices.reduce((sum, slice) => sum + slice.firsts, 0);
  const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
  return retries + 1 <= BUDGET_FLOOR + BUDGET_SHARE * firsts;
}

function listWindowSlices(
  state: RetryBudget,
  second: number,
): readonly BudgetSlice[] {
  return state.slices.filter((slice) =>
    slice.second > second - BUDGET_WINDOW_S
  );
}
