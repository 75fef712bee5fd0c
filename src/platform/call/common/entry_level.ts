/** Early refusal of calls that the backend servers would refuse anyway. */
import { readLevel } from "../../admission/common/level_control.ts";
import {
  isRefusedEarly,
  noteLevel,
} from "../../admission/common/level_view.ts";
import type { EntryCall, NodeState } from "./node_state.ts";

/** Whether a call that has cost nothing yet is under the admission level. */
export function isShed(
  state: NodeState,
  call: EntryCall,
  nowMs: number,
): boolean {
  const { context, row, exchangeId } = call;
  if (context.depth > 0 || call.attemptCount > 0) {
    return false;
  }
  const { importance, admissionHash } = context;
  const members = state.routing.services.get(row.service)?.keys() ?? [];
  const own = {
    nodeId: state.self.nodeId,
    level: readLevel(state.admission.level),
  };
  return isRefusedEarly(noteLevel(state.levels, own, nowMs), {
    id: exchangeId,
    members: [...members],
    importance,
    admissionHash,
  }, nowMs);
}
