/** Admission levels of calls: what is said on answers, what is refused early. */
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

/** Which kinds the local backend server calls for a kind, and until when. */
export type CalleeView = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** A kind that isn't called for so long is no longer counted as called. */
export const CALLEE_TTL_MS = 10_000;
const RENEW_MS = 1_000;

/** Notes that the local backend server calls `callee` to serve `kind`. */
export function noteCallee(
  state: NodeState,
  call: { readonly kind: string; readonly callee: string },
  nowMs: number,
): NodeState {
  const { kind, callee } = call;
  const called = state.callees.get(kind) ?? new Map<string, number>();
  const expiresAtMs = nowMs + CALLEE_TTL_MS;
  if ((called.get(callee) ?? 0) > expiresAtMs - RENEW_MS) {
    return state;
  }
  const renewed = setEntry(called, callee, expiresAtMs);
  const live = new Map([...renewed].filter(([, atMs]) => atMs > nowMs));
  return { ...state, callees: setEntry(state.callees, kind, live) };
}

/**
 * Quotes the level that answers to a kind carry: the higher one of this
 * node's admission and of the services called for the kind. So a root request
 * that is shed deep in a chain is refused before work goes into it.
 */
export function quoteLevel(
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
      const below = computeServiceLevel(
        state.levels,
        { kind: callee, members },
        nowMs,
      );
      level = pickHigherLevel(level, below);
    }
  }
  return level;
}

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
  const { kind, service } = row;
  const { nodeId } = state.self;
  const levels = service === state.self.service
    ? recordLevel(
      state.levels,
      { nodeId, kind, level: quoteLevel(state, kind, nowMs) },
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

/** Those that this node sends to; of the others it never hears a level. */
function listMembers(state: NodeState, service: string): readonly string[] {
  const views = state.routing.services.get(service)?.views ?? [];
  return views.map((view) => view.announcement.nodeId);
}
