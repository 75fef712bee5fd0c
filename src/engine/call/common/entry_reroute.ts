/** Another try without a retry token, where a node was only leaving. */
import { putEntry } from "./entry_state.ts";
import type { NodeState } from "./node_state.ts";

/**
 * Free tries of one call. What they replace ran nowhere and cost no slot: a
 * refusal of a draining node, or a connection that was refused. So the work of
 * a call tree stays within its retry tokens, and its attempts within three for
 * each that the tokens allow. Two, because a rolling restart overlaps.
 */
export const MAX_REROUTES = 2;

/** Whether a call may go elsewhere for nothing after it was provably not run. */
export function canReroute(state: NodeState, exchangeId: string): boolean {
  const call = state.entries.get(exchangeId)!;
  const isHarmless = call.row.idempotent || call.isNotRun;
  return isHarmless && call.isReplayable && call.rerouteCount < MAX_REROUTES;
}

/** Counts a free try. */
export function recordReroute(state: NodeState, exchangeId: string): NodeState {
  const call = state.entries.get(exchangeId)!;
  return putEntry(state, { ...call, rerouteCount: call.rerouteCount + 1 });
}
