/** Reports on workspaces for operators; they contain no keys. */
import type { ControlState } from "./control_state.ts";
import { computeUsages } from "./usage_step.ts";

/** A workspace, and its usage as known to this replica. */
export interface WorkspaceReport {
  readonly name: string;
  /** Number of its keys. */
  readonly keys: number;
  /** Null if only the ranks of routes apply. */
  readonly rank: number | null;
  /** Requests per second; no limit if this and `burst` are 0. */
  readonly ratePerSecond: number;
  /** Requests that may exceed the rate in a window. */
  readonly burst: number;
  /**
   * Requests received in the last window, at all entry nodes known to this
   * replica.
   */
  readonly asked: number;
  /** Requests of these that were admitted, without those that were not run. */
  readonly letIn: number;
  /** Share of its requests to admit, as last sent to entry nodes, 0 to 1. */
  readonly share: number;
}

/** Creates the reports, in the order of the configuration. */
export function createWorkspaceReports(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceReport[] {
  const usages = computeUsages(state, nowMs);
  const shares = new Map(state.sentShares);
  const { workspaces = [] } = state.tableState.document.table;
  return workspaces.map((workspace) => {
    const { name, keyDigests, rank, ratePerSecond, burst } = workspace;
    const usage = usages.get(name);
    return {
      name,
      keys: keyDigests.length,
      rank: rank ?? null,
      ratePerSecond,
      burst,
      asked: Math.round(usage?.asked ?? 0),
      letIn: usage?.letIn ?? 0,
      share: shares.get(name) ?? 1,
    };
  });
}
