/** Time that served attempts spend waiting for the calls that they made. */
import type { NodeState, ServedCall } from "./node_state.ts";

/**
 * Records which served attempts started or stopped waiting for calls of their
 * own in a step of the node. Time that concurrent calls share counts once.
 */
export function updateDownstreamTime(
  before: NodeState,
  after: NodeState,
  nowMs: number,
): NodeState {
  const { childrenOf } = after;
  if (childrenOf === before.childrenOf) {
    return after;
  }
  const changed = new Map<string, ServedCall>();
  for (const id of childrenOf.keys()) {
    const call = after.served.get(id);
    if (call !== undefined && !before.childrenOf.has(id)) {
      changed.set(id, { ...call, downstreamSinceMs: nowMs });
    }
  }
  for (const id of before.childrenOf.keys()) {
    const call = after.served.get(id);
    if (call !== undefined && !childrenOf.has(id)) {
      const downstreamMs = computeDownstreamMs(call, nowMs);
      changed.set(id, { ...call, downstreamMs, downstreamSinceMs: undefined });
    }
  }
  return changed.size === 0
    ? after
    : { ...after, served: new Map([...after.served, ...changed]) };
}

/** Computes the total time that an attempt has waited for its own calls. */
export function computeDownstreamMs(call: ServedCall, nowMs: number): number {
  const openMs = nowMs - (call.downstreamSinceMs ?? nowMs);
  return (call.downstreamMs ?? 0) + openMs;
}
