/** Reports on nodes and replicas for operators. */
import type { Announcement } from "../../membership/common/announcement.ts";
import {
  listReports,
  parseReplicaId,
} from "../../membership/common/membership_state.ts";
import type { ControlState } from "./control_state.ts";
import type { ReplicaState } from "./replica_reducer.ts";
import { isConfirmed } from "./replication_state.ts";
import { createWorkspaceReports } from "./workspace_report.ts";
import type { WorkspaceReport } from "./workspace_report.ts";

/** A node as a control replica reports it. */
export interface NodeReport extends Announcement {
  /** Version of the table that the node confirmed; null if unknown. */
  readonly tableVersion: number | null;
  /** Id of the replica to which the node is linked. */
  readonly heardBy: string;
  /**
   * Time since the last message of the node, or of the other replica to which
   * it is linked, in milliseconds.
   */
  readonly lastHeardMs: number;
  /** Whether that time exceeds `REPORT_SILENCE_LIMIT_MS`. */
  readonly isSilent: boolean;
}

/** Another replica as known to this one. */
export interface ReplicaReport {
  readonly id: string;
  /** Version of the table at the replica. */
  readonly tableVersion: number;
  /** Time since the last sign of life of the replica, in milliseconds. */
  readonly lastHeardMs: number;
  readonly isSilent: boolean;
}

/** The report of a control replica. */
export interface ControlReport {
  /** Version of the table in force. */
  readonly tableVersion: number;
  /** Whether a quorum has confirmed that the table is current. */
  readonly isTableConfirmed: boolean;
  readonly nodes: readonly NodeReport[];
  readonly replicas: readonly ReplicaReport[];
  readonly workspaces: readonly WorkspaceReport[];
}

/**
 * Silence above which a peer is reported as silent; tolerates lost heartbeats.
 */
export const REPORT_SILENCE_LIMIT_MS = 3_000;

/**
 * Creates the report at `nowMs`; it covers the nodes of all replicas. The
 * confirmation is judged at `nowMs`: no event may have come since it expired.
 */
export function createControlReport(
  { control: state, replication }: ReplicaState,
  nowMs: number,
): ControlReport {
  return {
    tableVersion: state.tableState.table.version,
    isTableConfirmed: isConfirmed(replication, nowMs),
    nodes: listReports(state.membership, nowMs).map((report) => ({
      ...report.announcement,
      tableVersion: report.tableVersion,
      heardBy: parseReplicaId(report.owner),
      lastHeardMs: report.silentMs,
      isSilent: report.silentMs > REPORT_SILENCE_LIMIT_MS,
    })),
    replicas: listReplicas(state, nowMs),
    workspaces: createWorkspaceReports(state, nowMs),
  };
}

/** Lists the replicas, each by its process instance that was last alive. */
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
      const isSilent = lastHeardMs > REPORT_SILENCE_LIMIT_MS;
      latest.set(id, { id, tableVersion, lastHeardMs, isSilent });
    }
  }
  return [...latest.values()];
}
