/** Rules of attempts: what may be retried, counted, and how long it has. */
import {
  canSendRetry,
  reduceRetryBudget,
} from "../../retry/common/retry_budget.ts";
import type { EntryCall, NodeState } from "./node_state.ts";

/** Share of the remaining time that a receiver gets less than its sender. */
const HOP_MARGIN_RATIO = 0.05;
/** Most of that, in milliseconds. */
const MAX_HOP_MARGIN_MS = 10;

/** A retry needs a token, budget, the whole body, and harmlessness or proof. */
export function canRetry(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): boolean {
  const call = state.entries.get(exchangeId)!;
  const isHarmless = call.row.idempotent || call.isNotRun;
  // An attempt that never arrived put no load on any backend server.
  const isInBudget = call.isReplacing === true ||
    canSendRetry(state.retryBudget, nowMs);
  return isHarmless && call.isReplayable && call.pool.left > 0 && isInBudget;
}

/** Whether the call may be tried again though its attempt may have run. */
export function canRetryUnknown(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): boolean {
  return state.entries.get(exchangeId)!.row.idempotent &&
    canRetry(state, exchangeId, nowMs);
}

/**
 * The receiver's time ends a little before its sender's, so that its answer,
 * which knows whether the attempt ran, arrives before the sender gives up.
 */
export function computeRemainingMs(call: EntryCall, nowMs: number): number {
  const remainingMs = call.deadlineMs - nowMs;
  return remainingMs -
    Math.min(MAX_HOP_MARGIN_MS, remainingMs * HOP_MARGIN_RATIO);
}

/** Whether the next attempt may repeat a run, or was called by one that does. */
export function isRepeat(call: EntryCall): boolean {
  return call.context.isRepeat === true ||
    call.attemptCount > 0 && !call.isNotRun;
}

/**
 * Counts an attempt of the call in the node's retry budget. What a repeated run
 * calls is a repeat too: as a first attempt it would widen the budget.
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
