/**
 * Admission levels of calls: which level answers report, and which calls are
 * refused early, before any work is done for them.
 */
import { setEntry } from "../../../base/common/maps.ts";
import { pickHigherLevel } from "../../admission/common/admission_level.ts";
import type { AdmissionLevel } from "../../admission/common/admission_level.ts";
import { getCurrentLevel } from "../../admission/common/level_control.ts";
import {
  computeServiceLevel,
  isRefusedEarly,
  recordLevel,
} from "../../admission/common/level_view.ts";
import type { EntryCall, NodeState } from "./node_state.ts";

/**
 * Kinds of request that the local backend server calls while it serves a kind,
 * each with its expiry on the steady clock in milliseconds.
 */
export type CalleeView = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Time after its last call at which a kind no longer counts as called. */
export const CALLEE_TTL_MS = 10_000;
/** Age at which an expiry is renewed, so that few calls copy the map. */
const CALLEE_RENEWAL_MS = 1_000;

/** Records that the local backend server calls `callee` to serve `kind`. */
export function recordCallee(
  state: NodeState,
  call: { readonly kind: string; readonly callee: string },
  nowMs: number,
): NodeState {
  const { kind, callee } = call;
  const called = state.callees.get(kind) ?? new Map<string, number>();
  const expiresAtMs = nowMs + CALLEE_TTL_MS;
  if ((called.get(callee) ?? 0) > expiresAtMs - CALLEE_RENEWAL_MS) {
    return state;
  }
  const renewed = setEntry(called, callee, expiresAtMs);
  const unexpired = new Map([...renewed].filter(([, atMs]) => atMs > nowMs));
  return { ...state, callees: setEntry(state.callees, kind, unexpired) };
}

/**
 * Computes the level that answers to a kind report: the highest of this node's
 * own admission level and those of the services called for the kind. A root
 * request that would be shed deep in a call chain is thus refused before any
 * work is done for it.
 */
export function computeReportedLevel(
  state: NodeState,
  kind: string,
  nowMs: number,
): AdmissionLevel | undefined {
  const own = getCurrentLevel(state.admission.level);
  const called = state.callees.get(kind);
  if (state.levels.size === 0 || called === undefined) {
    return own;
  }
  let level = own;
  for (const [callee, expiresAtMs] of called) {
    const row = state.table.rows.find((r) => r.kind === callee);
    if (row !== undefined && expiresAtMs > nowMs) {
      const members = listMembers(state, row.service);
      const calleeLevel = computeServiceLevel(
        state.levels,
        { kind: callee, members },
        nowMs,
      );
      level = pickHigherLevel(level, calleeLevel);
    }
  }
  return level;
}

/**
 * Whether a root request ranks below the admission level of its service. False
 * after its first attempt: refusing it then would waste the work done.
 */
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
  const { kind, service } = row;
  const { nodeId } = state.self;
  const levels = service === state.self.service
    ? recordLevel(
      state.levels,
      { nodeId, kind, level: computeReportedLevel(state, kind, nowMs) },
      nowMs,
    )
    : state.levels;
  return isRefusedEarly(levels, {
    id: exchangeId,
    kind,
    members: listMembers(state, service),
    importance,
    admissionHash,
  }, nowMs);
}

/** Lists the members that this node sends to: only their levels are known. */
function listMembers(state: NodeState, service: string): readonly string[] {
  const views = state.routing.services.get(service)?.views ?? [];
  return views.map((view) => view.announcement.nodeId);
}
