/** How long served attempts waited for the calls that they made. */
import type { NodeState, ServedCall } from "./node_state.ts";

/**
 * Notes which served attempts began or ended to wait for calls of their own
 * in a step of the node. Calls made at once count once.
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

/** Computes the time that an attempt waited for its own calls until now. */
export function computeDownstreamMs(call: ServedCall, nowMs: number): number {
  const openMs = nowMs - (call.downstreamSinceMs ?? nowMs);
  return (call.downstreamMs ?? 0) + openMs;
}
