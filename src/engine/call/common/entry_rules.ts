/** Rules for attempts: retries, the retry budget and the time each one gets. */
import {
  canSendRetry,
  reduceRetryBudget,
} from "../../retry/common/retry_budget.ts";
import type { EntryCall, NodeState } from "./node_state.ts";

/** Part of the remaining time that the receiver's deadline is earlier by. */
const HOP_MARGIN_RATIO = 0.05;
/** Upper bound of that margin. */
const MAX_HOP_MARGIN_MS = 10;

/**
 * Whether the call may be retried. A retry needs a token, retry budget, a
 * buffered body, and an idempotent kind or proof that no attempt has run.
 */
export function canRetry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): boolean {
  const call = state.entries.get(exchangeId)!;
  const isSafeToRepeat = call.row.idempotent || call.isNotRun;
  // Replacing an attempt that never arrived adds no load to backend servers.
  const isInBudget = call.isReplacing === true ||
    canSendRetry(state.retryBudget, nowMs);
  return isSafeToRepeat && call.isReplayable && call.pool.left > 0 &&
    isInBudget;
}

/** Whether the call may be retried even if its attempt has run. */
export function canRetryUnknown(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): boolean {
  return state.entries.get(exchangeId)!.row.idempotent &&
    canRetry(state, exchangeId, nowMs);
}

/**
 * Computes the time that the receiver of the next attempt gets. Its deadline is
 * slightly earlier than the sender's, so that its answer, which states whether
 * the attempt ran, arrives before the sender times out.
 */
export function computeRemainingMs(call: EntryCall, nowMs: number): number {
  const remainingMs = call.deadlineMs - nowMs;
  return remainingMs -
    Math.min(MAX_HOP_MARGIN_MS, remainingMs * HOP_MARGIN_RATIO);
}

/**
 * Whether the next attempt may repeat an execution, or belongs to an attempt
 * that does.
 */
export function isRepeat(call: EntryCall): boolean {
  return call.context.isRepeat === true ||
    call.attemptCount > 0 && !call.isNotRun;
}

/**
 * Counts an attempt of the call in the node's retry budget. Calls that a
 * repeated execution makes count as retries too: counted as first attempts,
 * they would enlarge the budget.
 */
export function countAttempt(
  state: NodeState,
  call: EntryCall,
  nowMs: number,
): NodeState {
  if (call.isReplacing === true) {
    return state;
  }
  const isFirst = call.attemptCount === 0 && call.context.isRepeat !== true;
  const type = isFirst ? "FirstAttemptSent" : "RetrySent";
  const step = reduceRetryBudget(state.retryBudget, { type }, nowMs);
  return { ...state, retryBudget: step.state };
}
