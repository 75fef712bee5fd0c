/** Messages between nodes and control replicas: msgpack over WebSocket. */
import type { Announcement } from "../../membership/common/announcement.ts";
import type { HolderSets } from "../../claims/common/claim_types.ts";
import type { PresenceMessage } from "../../membership/common/presence_messages.ts";
import type { CrashReport } from "../../quarantine/common/crash_messages.ts";
import type { RouteTable } from "../../routes/common/route_table.ts";
import type {
  WorkspaceShare,
  WorkspaceUsage,
} from "../../workspaces/common/quota_shares.ts";
import type { TableDelta } from "../../table/common/table_delta.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { ClusterMessage } from "./cluster_messages.ts";

/** A message from a node to its control replica. */
export type NodeMessage =
  | {
    readonly type: "Announce";
    readonly announcement: Announcement;
    /** Number of the link: counts the links opened by this process. */
    readonly linkNumber: number;
    /** Version of the table in use at the node. */
    readonly tableVersion: number;
    /** Version of its routes; absent if the node uses no routes. */
    readonly routesVersion?: number;
  }
  | {
    readonly type: "Subscribe";
    readonly service: string;
    /** Whether the node reads `CrashUpdate` messages. */
    readonly wantsCrashes?: boolean;
  }
  | { readonly type: "Unsubscribe"; readonly service: string }
  | {
    readonly type: "Heartbeat";
    readonly tableVersion: number;
    readonly routesVersion?: number;
    /** Number of a request for `RoutesProved`; increases with each. */
    readonly proof?: number;
    /** Whether requests at the node wait for that proof. */
    readonly isUrgent?: boolean;
    /**
     * Evidence against requests that the node found, until control confirms
     * it by a `CrashUpdate`. Replicas of former versions end at messages of an
     * unknown type, but ignore unknown fields.
     */
    readonly crashes?: readonly CrashReport[];
  }
  /** Requested and admitted usage at the node of workspaces with a limit. */
  | {
    readonly type: "UsageReport";
    readonly usages: readonly WorkspaceUsage[];
  }
  /** The node has copied the records of holders of an earlier epoch. */
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  }
  /** Requests the table, as a delta didn't apply to the node's version. */
  | { readonly type: "TableFetch"; readonly tableVersion: number }
  /** The node shuts down and stops serving. */
  | { readonly type: "Leave" };

/** A message received on a control replica's link listener. */
export type InboundMessage = NodeMessage | PresenceMessage | ClusterMessage;

/** A message from a control replica to a node. */
export type ControlMessage =
  | {
    readonly type: "TableUpdate";
    readonly table: Table;
    /** Whether the replica has proved that its table is current. */
    readonly isConfirmed: boolean;
  }
  | {
    readonly type: "TableChange";
    readonly delta: TableDelta;
    readonly isConfirmed: boolean;
  }
  | {
    readonly type: "RoutesUpdate";
    readonly routes: RouteTable;
    /** Whether the replica has proved that its routes are current. */
    readonly isConfirmed: boolean;
  }
  /**
   * Proof for the node's request of this number: after the request was
   * received, a quorum confirmed that no later version was accepted.
   */
  | {
    readonly type: "RoutesProved";
    readonly number: number;
    readonly routesVersion: number;
  }
  /** Shares of requests to admit for workspaces over their limit. */
  | {
    readonly type: "SharesUpdate";
    /** Workspaces with a share below 1; absent if not yet known. */
    readonly shares?: readonly WorkspaceShare[];
    /** Number of nodes in the cluster, over all replicas. */
    readonly nodes: number;
  }
  | {
    readonly type: "MemberList";
    readonly service: string;
    readonly members: readonly Announcement[];
    /** Whether the list is complete; false shortly after a restart. */
    readonly isComplete: boolean;
  }
  | { readonly type: "MemberUpdate"; readonly announcement: Announcement }
  /** Evidence against requests of a service that the node subscribes to. */
  | { readonly type: "CrashUpdate"; readonly report: CrashReport }
  | {
    readonly type: "MemberLoss";
    readonly service: string;
    readonly nodeId: string;
  }
  | { readonly type: "HolderSetUpdate"; readonly sets: HolderSets }
  /** Instructs the node to drain. */
  | { readonly type: "DrainOrder" }
  | {
    readonly type: "HeartbeatAnswer";
    /** Whether the replica has proved that its state is current. */
    readonly isConfirmed: boolean;
    /** Version of its routes; absent from replicas of former versions. */
    readonly routesVersion?: number;
    /** Link addresses of all replicas; present with discovery. */
    readonly replicas?: readonly string[];
  };

/** A message sent by a control replica on an accepted link. */
export type OutboundMessage =
  | ControlMessage
  | PresenceMessage
  | ClusterMessage;

/** Interval of heartbeats from a node to its control replica. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without a message after which a link is closed. */
export const LINK_TIMEOUT_MS = 3_500;

/** Whether a message belongs to the presence protocol of the replicas. */
export function isPresenceMessage(
  message: InboundMessage | OutboundMessage,
): message is PresenceMessage {
  switch (message.type) {
    case "PresenceDelta":
    case "PresenceList":
    case "PresenceDigest":
    case "PresenceFetch":
    case "DrainRelay":
    case "UsageDigest":
      return true;
    default:
      return false;
  }
}
