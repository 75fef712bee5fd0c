/** Requests the status of attempts that stalled or lost their connection. */
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import { ASK_TIMEOUT_MS } from "../../retry/common/settled_attempts.ts";
import type { NodeEffect } from "./call_events.ts";
import { putEntry } from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Time without a sign of progress after which a status is requested. */
export const STATUS_DELAY_MS = 1_000;
/** Part of the kind's timeout that replaces `STATUS_DELAY_MS` if shorter. */
const STATUS_DELAY_RATIO = 1 / 3;
/**
 * Part of its status delay after which an attempt joins the request that is due
 * for another attempt at the same receiver.
 */
const BATCHED_STATUS_RATIO = 1 / 2;
const MAX_ATTEMPTS_PER_REQUEST = 512;
/** Prefix of the ids of status requests; attempt ids follow. */
const STATUS_REQUEST_PREFIX = "attempts:";
/** Separates the attempt ids, which never contain it. */
const ID_SEPARATOR = ",";

/**
 * Requests the status of an attempt on a new connection, unless a request for
 * it is pending. `change` updates the attempt.
 */
export function requestAttemptStatus(
  state: NodeState,
  exchangeId: string,
  change: Partial<Attempt>,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const current = call.attempt ?? call.relayed!;
  const attempt: Attempt = { ...current, ...change, isAsked: true };
  const next = replaceAttempt(state, call, attempt);
  return current.isAsked
    ? createReduction(next)
    : createReduction(next, [createStatusRequest([attempt], nowMs)]);
}

/**
 * Requests the status of stalled attempts, in one request to each receiver.
 * Attempts that have stalled for half the delay join it, so that a slow
 * receiver gets at most two requests within one delay.
 */
export function detectStalledAttempts(
  state: NodeState,
  nowMs: number,
): NodeStep {
  const calls = [...state.entries.values()];
  const stalled = calls.filter((call) => isStatusDue(state, call, nowMs, 1));
  if (stalled.length === 0) {
    return createReduction(state);
  }
  const receivers = new Set(
    stalled.map((call) => formatReceiver(call.attempt!)),
  );
  const due = calls.filter((call) =>
    isStatusDue(state, call, nowMs, BATCHED_STATUS_RATIO) &&
    receivers.has(formatReceiver(call.attempt!))
  );
  return requestStatuses(state, due, nowMs);
}

function requestStatuses(
  state: NodeState,
  calls: readonly EntryCall[],
  nowMs: number,
): NodeStep {
  const groups = new Map<string, Attempt[]>();
  let next = state;
  for (const call of calls) {
    const attempt: Attempt = { ...call.attempt!, isAsked: true };
    const receiver = formatReceiver(attempt);
    const group = groups.get(receiver) ?? [];
    if (group.length < MAX_ATTEMPTS_PER_REQUEST) {
      groups.set(receiver, [...group, attempt]);
      next = replaceAttempt(next, call, attempt);
    }
  }
  const requests = [...groups.values()].map((group) =>
    createStatusRequest(group, nowMs)
  );
  return createReduction(next, requests);
}

/** Replaces the attempt that a call waits for, or whose answer it relays. */
export function replaceAttempt(
  state: NodeState,
  call: EntryCall,
  attempt: Attempt,
): NodeState {
  return call.attempt === undefined
    ? putEntry(state, { ...call, relayed: attempt })
    : putEntry(state, { ...call, attempt });
}

/** Parses the attempt ids of a status request; empty for other requests. */
export function parseStatusRequestId(requestId: string): readonly string[] {
  return requestId.startsWith(STATUS_REQUEST_PREFIX)
    ? requestId.slice(STATUS_REQUEST_PREFIX.length).split(ID_SEPARATOR)
    : [];
}

/** Cancels an attempt and retires the connections to its receiver. */
export function dropConnections(step: NodeStep, attempt: Attempt): NodeStep {
  const { attemptId, address } = attempt;
  return appendEffects(
    step,
    { type: "AbortAttempt", attemptId },
    { type: "DropConnections", address },
  );
}

/** Computes the time after which the status of an attempt is requested. */
export function computeStatusDelayMs(call: EntryCall): number {
  return Math.min(STATUS_DELAY_MS, call.row.timeoutMs * STATUS_DELAY_RATIO);
}

/** Whether an attempt has stalled for `ratio` of its status delay. */
function isStatusDue(
  state: NodeState,
  call: EntryCall,
  nowMs: number,
  ratio: number,
): boolean {
  const { attempt } = call;
  return attempt !== undefined && !attempt.isAsked &&
    attempt.nodeId !== state.self.nodeId &&
    nowMs - attempt.heardAtMs >= ratio * computeStatusDelayMs(call);
}

/** Identifies a receiving process by its address and incarnation. */
function formatReceiver({ address, incarnation }: Attempt): string {
  return `${address} ${incarnation}`;
}

/** Creates the status request for attempts that have the same receiver. */
function createStatusRequest(
  attempts: readonly Attempt[],
  nowMs: number,
): NodeEffect {
  const { address, incarnation } = attempts[0]!;
  const ids = attempts.map(({ attemptId }) => attemptId);
  const queried = attempts.map(({ attemptId, startedAtMs }) => ({
    attemptId,
    ageMs: nowMs - startedAtMs,
  }));
  return {
    type: "AskPeer",
    requestId: `${STATUS_REQUEST_PREFIX}${ids.join(ID_SEPARATOR)}`,
    address,
    message: { type: "FenceAttempts", incarnation, attempts: queried },
    timeoutMs: ASK_TIMEOUT_MS,
    isFresh: true,
  };
}
