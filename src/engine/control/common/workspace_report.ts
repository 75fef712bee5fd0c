/** What a control replica tells operators of workspaces; never a key. */
import type { ControlState } from "./control_state.ts";
import { computeUsages } from "./usage_step.ts";

/** A workspace, and what its requests come to as this replica knows. */
export interface WorkspaceReport {
  readonly name: string;
  readonly keys: number;
  /** Null where only the ranks of routes count. */
  readonly rank: number | null;
  /** 0: no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Requests in the last window, at all entries that this replica hears of. */
  readonly asked: number;
  /** Those of them that were let in, without those that ran nowhere. */
  readonly letIn: number;
  /** Part of its requests that entries were last told to let in. */
  readonly share: number;
}

/** Creates the reports, in the order of the configuration. */
export function createWorkspaceReports(
  state: ControlState,
  nowMs: number,
): readonly WorkspaceReport[] {
  const usages = computeUsages(state, nowMs);
  const shares = new Map(state.toldShares);
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
