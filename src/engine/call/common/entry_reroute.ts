/**
 * Limits the attempts that are sent without a retry token, because a draining
 * node refused the previous one or no connection could be made.
 */
import { putEntry } from "./entry_state.ts";
import type { NodeState } from "./node_state.ts";

/**
 * Limit of attempts without a retry token, per call. The attempts that they
 * replace did not run and took no slot: a draining node refused them, or no
 * connection could be made. The work of a call tree therefore stays within its
 * retry tokens, and its attempts within three times what the tokens allow. The
 * limit is two because several nodes drain at once in a rolling restart.
 */
export const MAX_REROUTES = 2;

/** Whether a call may be sent again without a retry token. */
export function canReroute(state: NodeState, exchangeId: string): boolean {
  const call = state.entries.get(exchangeId)!;
  const isSafeToRepeat = call.row.idempotent || call.isNotRun;
  return isSafeToRepeat && call.isReplayable &&
    call.rerouteCount < MAX_REROUTES;
}

/** Counts an attempt without a retry token. */
export function recordReroute(state: NodeState, exchangeId: string): NodeState {
  const call = state.entries.get(exchangeId)!;
  return putEntry(state, { ...call, rerouteCount: call.rerouteCount + 1 });
}
