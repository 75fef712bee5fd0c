/** Cancels entry calls and the calls below them. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { closeEntry, reportAttempt, settleAttempt } from "./entry_state.ts";
import type { EntryCall, NodeState } from "./node_state.ts";
import { cancelServed } from "./served_reducer.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";

/** Cancels the attempt of a call, local or remote. */
export function abortAttempt(
  state: NodeState,
  exchangeId: string,
  deps: ServedDeps,
): NodeStep {
  const call = state.entries.get(exchangeId)!;
  const attemptId = findAttemptId(call);
  if (attemptId === undefined) {
    return createReduction(state);
  }
  const served = state.served.get(attemptId);
  // A local attempt that is still queued has not reached the backend server.
  const isNotRun = served?.phase === "queued";
  const report = { result: "cancelled", isDraining: false } as const;
  const next = call.attempt === undefined ? state : settleAttempt(
    reportAttempt(state, call, report, deps.nowMs),
    exchangeId,
    { tokens: 0, isNotRun },
  );
  return served === undefined
    ? createReduction(next, [{ type: "AbortAttempt", attemptId }])
    : cancelServed(next, attemptId, deps);
}

/** Cancels a call whose caller disconnected, with everything below it. */
export function cancelEntry(
  state: NodeState,
  exchangeId: string,
  deps: ServedDeps,
): NodeStep {
  const step = abortAttempt(state, exchangeId, deps);
  return chainReduction(step, (next) => closeEntry(next, exchangeId));
}

/** Cancels the calls that a served attempt has made. */
export function cancelChildren(
  state: NodeState,
  parentId: string,
  deps: ServedDeps,
): NodeStep {
  const children = state.childrenOf.get(parentId) ?? [];
  return children.reduce<NodeStep>(
    (step, exchangeId) =>
      chainReduction(
        step,
        (s) =>
          appendEffects(cancelEntry(s, exchangeId, deps), {
            type: "DropExchange",
            exchangeId,
          }),
      ),
    createReduction(state),
  );
}

/** Returns the attempt that a call waits for, or whose answer it relays. */
function findAttemptId(call: EntryCall): string | undefined {
  if (call.attempt !== undefined) {
    return call.attempt.attemptId;
  }
  return call.isRelaying
    ? `${call.exchangeId}.${call.attemptCount}`
    : undefined;
}
