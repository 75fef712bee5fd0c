/** Asks receivers about attempts that are quiet or whose connection failed. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { ASK_TIMEOUT_MS } from "../../retry/common/settled_attempts.ts";
import type { NodeEffect } from "./call_events.ts";
import { putEntry } from "./entry_state.ts";
import type { Attempt, EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_reducer.ts";

/** An attempt without a head is asked about after this spell. */
export const QUIET_MS = 1_000;
/** Part of a kind's timeout after which it is asked about, where shorter. */
const QUIET_SHARE = 1 / 3;
/** Questions to one node that may be out at a time. */
const MAX_ASKS = 16;
/** Begins the request ids of these questions. */
const ASK_PREFIX = "attempt:";

/** Marks an attempt as asked about, and asks on a new connection. */
export function askAttempt(
  state: NodeState,
  exchangeId: string,
  change: Partial<Attempt>,
  nowMs: number,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const current = call.attempt ?? call.relayed!;
  const attempt: Attempt = { ...current, ...change, isAsked: true };
  const next = putAttempt(state, call, attempt);
  return current.isAsked
    ? createReduction(next)
    : createReduction(next, [createAsk(attempt, nowMs)]);
}

/** Asks about every attempt that has been quiet for a spell. */
export function watchAttempts(state: NodeState, nowMs: number): NodeStep {
  const asked = countAsks(state);
  return [...state.entries.values()].reduce<NodeStep>((step, call) => {
    const address = call.attempt?.address ?? "";
    const count = asked.get(address) ?? 0;
    if (!isQuiet(state, call, nowMs) || count >= MAX_ASKS) {
      return step;
    }
    asked.set(address, count + 1);
    return chainReduction(
      step,
      (s) => askAttempt(s, call.exchangeId, {}, nowMs),
    );
  }, createReduction(state));
}

/** Replaces the attempt that a call waits for or relays. */
export function putAttempt(
  state: NodeState,
  call: EntryCall,
  attempt: Attempt,
): NodeState {
  return call.attempt === undefined
    ? putEntry(state, { ...call, relayed: attempt })
    : putEntry(state, { ...call, attempt });
}

/** Returns the attempt that a question was about, if it was about one. */
export function parseAsk(requestId: string): string | undefined {
  return requestId.startsWith(ASK_PREFIX)
    ? requestId.slice(ASK_PREFIX.length)
    : undefined;
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
export function computeQuietMs(call: EntryCall): number {
  return Math.min(QUIET_MS, call.row.timeoutMs * QUIET_SHARE);
}

function isQuiet(state: NodeState, call: EntryCall, nowMs: number): boolean {
  const { attempt } = call;
  return attempt !== undefined && !attempt.isAsked &&
    attempt.nodeId !== state.self.nodeId &&
    nowMs - attempt.heardAtMs >= computeQuietMs(call);
}

function countAsks(state: NodeState): Map<string, number> {
  const asked = new Map<string, number>();
  for (const { attempt } of state.entries.values()) {
    if (attempt?.isAsked === true) {
      asked.set(attempt.address, (asked.get(attempt.address) ?? 0) + 1);
    }
  }
  return asked;
}

function createAsk(attempt: Attempt, nowMs: number): NodeEffect {
  const { attemptId, address, incarnation, startedAtMs } = attempt;
  const ageMs = nowMs - startedAtMs;
  return {
    type: "AskPeer",
    requestId: `${ASK_PREFIX}${attemptId}`,
    address,
    message: { type: "FenceAttempt", attemptId, incarnation, ageMs },
    timeoutMs: ASK_TIMEOUT_MS,
    isFresh: true,
  };
}
