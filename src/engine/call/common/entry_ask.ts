/** Asks receivers about attempts that are quiet or whose connection failed. */
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import { ASK_TIMEOUT_MS } from "../../retry/common/settled_attempts.ts";
import type { NodeEffect } from "./call_events.ts";
import { putEntry } from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** An attempt without a head is asked about after this spell. */
export const STATUS_DELAY_MS = 1_000;
/** Part of a kind's timeout after which it is asked about, where shorter. */
const STATUS_DELAY_RATIO = 1 / 3;
/** Part of its spell after which an attempt goes along in a question. */
const BATCHED_STATUS_RATIO = 1 / 2;
/** Most attempts in one question. */
const MAX_ATTEMPTS_PER_REQUEST = 512;
/** Begins the request ids of these questions; attempt ids follow. */
const STATUS_REQUEST_PREFIX = "attempts:";
/** Parts the attempt ids: no id has one. */
const ID_SEPARATOR = ",";

/** Marks an attempt as asked about, and asks on a new connection. */
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
 * Asks about the attempts that have been quiet for a spell, in one question
 * to each receiver. Those that have been quiet for half of it go along, so
 * that a slow receiver is not asked more than twice in a spell.
 */
export function detectStalledAttempts(
  state: NodeState,
  nowMs: number,
): NodeStep {
  const calls = [...state.entries.values()];
  const quiet = calls.filter((call) => isStatusDue(state, call, nowMs, 1));
  if (quiet.length === 0) {
    return createReduction(state);
  }
  const receivers = new Set(quiet.map((call) => formatReceiver(call.attempt!)));
  const asked = calls.filter((call) =>
    isStatusDue(state, call, nowMs, BATCHED_STATUS_RATIO) &&
    receivers.has(formatReceiver(call.attempt!))
  );
  return requestStatuses(state, asked, nowMs);
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
    const name = formatReceiver(attempt);
    const group = groups.get(name) ?? [];
    if (group.length < MAX_ATTEMPTS_PER_REQUEST) {
      groups.set(name, [...group, attempt]);
      next = replaceAttempt(next, call, attempt);
    }
  }
  const asks = [...groups.values()].map((group) =>
    createStatusRequest(group, nowMs)
  );
  return createReduction(next, asks);
}

/** Replaces the attempt that a call waits for or relays. */
export function replaceAttempt(
  state: NodeState,
  call: EntryCall,
  attempt: Attempt,
): NodeState {
  return call.attempt === undefined
    ? putEntry(state, { ...call, relayed: attempt })
    : putEntry(state, { ...call, attempt });
}

/** Returns the attempts that a question was about; none of another's. */
export function parseStatusRequestId(requestId: string): readonly string[] {
  return requestId.startsWith(STATUS_REQUEST_PREFIX)
    ? requestId.slice(STATUS_REQUEST_PREFIX.length).split(ID_SEPARATOR)
    : [];
}

/** Marks the connections to a receiver as not to be used again. */
export function dropConnections(step: NodeStep, attempt: Attempt): NodeStep {
  const { attemptId, address } = attempt;
  return appendEffects(
    step,
    { type: "AbortAttempt", attemptId },
    { type: "DropConnections", address },
  );
}

/** The spell after which the attempts of a call are asked about. */
export function computeStatusDelayMs(call: EntryCall): number {
  return Math.min(STATUS_DELAY_MS, call.row.timeoutMs * STATUS_DELAY_RATIO);
}

/** Whether an attempt has been quiet for `share` of its spell. */
function isStatusDue(
  state: NodeState,
  call: EntryCall,
  nowMs: number,
  share: number,
): boolean {
  const { attempt } = call;
  return attempt !== undefined && !attempt.isAsked &&
    attempt.nodeId !== state.self.nodeId &&
    nowMs - attempt.heardAtMs >= share * computeStatusDelayMs(call);
}

/** One process at one address. */
function formatReceiver({ address, incarnation }: Attempt): string {
  return `${address} ${incarnation}`;
}

/** Asks one receiver about attempts that were all sent to it. */
function createStatusRequest(
  attempts: readonly Attempt[],
  nowMs: number,
): NodeEffect {
  const { address, incarnation } = attempts[0]!;
  const ids = attempts.map(({ attemptId }) => attemptId);
  const asked = attempts.map(({ attemptId, startedAtMs }) => ({
    attemptId,
    ageMs: nowMs - startedAtMs,
  }));
  return {
    type: "AskPeer",
    requestId: `${STATUS_REQUEST_PREFIX}${ids.join(ID_SEPARATOR)}`,
    address,
    message: { type: "FenceAttempts", incarnation, attempts: asked },
    timeoutMs: ASK_TIMEOUT_MS,
    isFresh: true,
  };
}
