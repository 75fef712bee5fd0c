/** What a control replica tells operators of nodes and replicas. */
import type { Announcement } from "../../membership/common/announcement.ts";
import {
  listReports,
  parseReplicaId,
} from "../../membership/common/membership_state.ts";
import type { ControlState } from "./control_state.ts";
import { createWorkspaceReports } from "./workspace_report.ts";
import type { WorkspaceReport } from "./workspace_report.ts";

/** A node as a control replica reports it. */
export interface NodeReport extends Announcement {
  /** Version that the node confirmed; null where that isn't known. */
  readonly tableVersion: number | null;
  /** Id of the replica that hears the node. */
  readonly heardBy: string;
  /** Since the node, or the replica that hears it, was heard. */
  readonly lastHeardMs: number;
  readonly isSilent: boolean;
}

/** Another replica as this one hears it. */
export interface ReplicaReport {
  readonly id: string;
  readonly tableVersion: number;
  readonly lastHeardMs: number;
  readonly isSilent: boolean;
}

/** What a control replica reports. */
export interface ControlReport {
  readonly tableVersion: number;
  readonly isTableConfirmed: boolean;
  readonly nodes: readonly NodeReport[];
  readonly replicas: readonly ReplicaReport[];
  readonly workspaces: readonly WorkspaceReport[];
}

/** Silence that is reported: more than a lost heartbeat or two. */
export const REPORT_SILENCE_MS = 3_000;

/** Creates the report at `nowMs`, over the nodes of all replicas. */
export function createControlReport(
  state: ControlState,
  nowMs: number,
): ControlReport {
  return {
    tableVersion: state.tableState.table.version,
    isTableConfirmed: state.isTableConfirmed,
    nodes: listReports(state.membership, nowMs).map((report) => ({
      ...report.announcement,
      tableVersion: report.tableVersion,
      heardBy: parseReplicaId(report.owner),
      lastHeardMs: report.silentMs,
      isSilent: report.silentMs > REPORT_SILENCE_MS,
    })),
    replicas: listReplicas(state, nowMs),
    workspaces: createWorkspaceReports(state, nowMs),
  };
}

/** Of several runs of one replica, the one heard last counts. */
function listReplicas(
  state: ControlState,
  nowMs: number,
): readonly ReplicaReport[] {
  const latest = new Map<string, ReplicaReport>();
  for (const [name, owner] of state.membership.owners) {
    const id = parseReplicaId(name);
    const lastHeardMs = nowMs - owner.lastReceivedAtMs;
    if (lastHeardMs < (latest.get(id)?.lastHeardMs ?? Infinity)) {
      const { tableVersion } = owner;
      const isSilent = lastHeardMs > REPORT_SILENCE_MS;
      latest.set(id, { id, tableVersion, lastHeardMs, isSilent });
    }
  }
  return [...latest.values()];
}
