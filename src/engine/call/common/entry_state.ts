/** State changes of entry calls that several modules share. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import { returnShare } from "../../retry/common/retry_tokens.ts";
import { reduceRouting } from "../../routing/common/routing_reducer.ts";
import type { AttemptReport } from "../../routing/common/backend_view.ts";
import type { RoutingEvent } from "../../routing/common/routing_reducer.ts";
import type { CallOutcome } from "./call_context.ts";
import type { NodeEffect, TimerKey } from "./call_events.ts";
import type { EntryCall, NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Applies an event to the routing view. */
export function stepRouting(
  state: NodeState,
  event: RoutingEvent,
  nowMs: number,
): NodeState {
  const { state: routing } = reduceRouting(state.routing, event, nowMs);
  return { ...state, routing };
}

/** Replaces an entry call, and indexes its current attempt. */
export function putEntry(state: NodeState, call: EntryCall): NodeState {
  const entries = setEntry(state.entries, call.exchangeId, call);
  if (call.attempt === undefined) {
    return { ...state, entries };
  }
  const { attemptId } = call.attempt;
  const entryOfAttempt = setEntry(
    state.entryOfAttempt,
    attemptId,
    call.exchangeId,
  );
  return { ...state, entries, entryOfAttempt };
}

/** Reports the result of the current attempt to the routing view. */
export function reportAttempt(
  state: NodeState,
  call: EntryCall,
  observed: Pick<AttemptReport, "result" | "isDraining" | "hintedLoad">,
  nowMs: number,
): NodeState {
  const attempt = call.attempt!;
  const report: AttemptReport = {
    service: call.row.service,
    nodeId: attempt.nodeId,
    kind: call.row.kind,
    latencyMs: nowMs - attempt.startedAtMs,
    result: observed.result,
    isDraining: observed.isDraining,
    hintedLoad: observed.hintedLoad,
  };
  return stepRouting(state, { type: "AttemptFinished", report }, nowMs);
}

/** Removes the current attempt from its call and returns its unused tokens. */
export function settleAttempt(
  state: NodeState,
  exchangeId: string,
  settled: { readonly tokens: number; readonly isNotRun: boolean },
): NodeState {
  const call = state.entries.get(exchangeId)!;
  const attempt = call.attempt!;
  const next = putEntry(state, {
    ...call,
    pool: returnShare(call.pool, attempt.tokens, settled.tokens),
    attempt: undefined,
    isNotRun: call.isNotRun && settled.isNotRun,
  });
  const { attemptId } = attempt;
  return {
    ...next,
    entryOfAttempt: deleteEntry(next.entryOfAttempt, attemptId),
  };
}

/** Registers an open call with the served attempt that made it. */
export function addChild(
  state: NodeState,
  parentId: string,
  exchangeId: string,
): NodeState {
  const children = [...state.childrenOf.get(parentId) ?? [], exchangeId];
  const childrenOf = setEntry(state.childrenOf, parentId, children);
  return { ...state, childrenOf };
}

function removeChild(state: NodeState, call: EntryCall): NodeState {
  const { parentId, exchangeId } = call;
  const children = state.childrenOf.get(parentId ?? "");
  if (parentId === undefined || children === undefined) {
    return state;
  }
  const remaining = children.filter((child) => child !== exchangeId);
  const childrenOf = remaining.length === 0
    ? deleteEntry(state.childrenOf, parentId)
    : setEntry(state.childrenOf, parentId, remaining);
  return { ...state, childrenOf };
}

/** Removes a call and returns its unused tokens to its parent. */
export function closeEntry(state: NodeState, exchangeId: string): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const key: TimerKey = { owner: "entry", id: exchangeId };
  const lastAttemptId = `${exchangeId}.${call.attemptCount}`;
  const next = removeChild({
    ...state,
    entries: deleteEntry(state.entries, exchangeId),
    entryOfAttempt: deleteEntry(state.entryOfAttempt, lastAttemptId),
  }, call);
  const parent = call.parentId === undefined
    ? undefined
    : next.served.get(call.parentId);
  const stop: NodeEffect = { type: "StopTimer", key };
  if (parent === undefined) {
    return createReduction(next, [stop]);
  }
  const granted = call.context.retryTokens;
  const pool = returnShare(parent.pool, granted, call.pool.left);
  const served = setEntry(next.served, parent.attemptId, { ...parent, pool });
  return createReduction({ ...next, served }, [stop]);
}

/** Creates the time line event for the end of a call. */
export function createCallEndedEffect(
  call: EntryCall,
  status: number,
  outcome: CallOutcome,
): NodeEffect {
  const requestId = call.context.rootId;
  const { kind } = call.row;
  return {
    type: "RecordEvent",
    event: { type: "CallEnded", requestId, kind, status, outcome },
  };
}
