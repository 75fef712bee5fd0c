/** Messages between nodes and control replicas, sent as msgpack over ws. */
import type { Announcement } from "../../membership/common/announcement.ts";
import type { HolderSets } from "../../claims/common/claim_types.ts";
import type { PresenceMessage } from "../../membership/common/presence_messages.ts";
import type { RouteTable } from "../../routes/common/route_table.ts";
import type {
  WorkspaceShare,
  WorkspaceUsage,
} from "../../workspaces/common/quota_shares.ts";
import type { TableDelta } from "../../table/common/table_delta.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { ClusterMessage } from "./cluster_messages.ts";

/** What a node says to its control replica. */
export type NodeMessage =
  | {
    readonly type: "Announce";
    readonly announcement: Announcement;
    /** Counts the links that this process opened. */
    readonly linkNumber: number;
    readonly tableVersion: number;
    /** Left out by nodes that take no routes. */
    readonly routesVersion?: number;
  }
  | { readonly type: "Subscribe"; readonly service: string }
  | { readonly type: "Unsubscribe"; readonly service: string }
  | {
    readonly type: "Heartbeat";
    readonly tableVersion: number;
    readonly routesVersion?: number;
    /** Asks for a proof that the routes are the newest; numbers grow. */
    readonly proof?: number;
    /** Whether requests wait for that proof. */
    readonly isUrgent?: boolean;
  }
  /** What workspaces with a limit asked for and were let in at the node. */
  | {
    readonly type: "UsageReport";
    readonly usages: readonly WorkspaceUsage[];
  }
  /** The records of an older epoch are copied. */
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  }
  /** A delta didn't fit the version that the node is at. */
  | { readonly type: "TableFetch"; readonly tableVersion: number }
  | { readonly type: "Leave" };

/** What arrives on a control replica's listener. */
export type InboundMessage = NodeMessage | PresenceMessage | ClusterMessage;

/** What a control replica says to a node. */
export type ControlMessage =
  | {
    readonly type: "TableUpdate";
    readonly table: Table;
    /** Whether the replica has proved that it is current. */
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
    /** Whether the replica has proved that they are current. */
    readonly isConfirmed: boolean;
  }
  /**
   * A quorum vouched, after the question of this number came, that no version
   * above this one was accepted.
   */
  | {
    readonly type: "RoutesProved";
    readonly number: number;
    readonly routesVersion: number;
  }
  /** How much of the requests of workspaces over their limit to let in. */
  | {
    readonly type: "SharesUpdate";
    /** Those below 1; left out where the replica doesn't know yet. */
    readonly shares?: readonly WorkspaceShare[];
    /** Nodes of all replicas. */
    readonly nodes: number;
  }
  | {
    readonly type: "MemberList";
    readonly service: string;
    readonly members: readonly Announcement[];
    /** Whether who isn't listed is no member. */
    readonly isComplete: boolean;
  }
  | { readonly type: "MemberUpdate"; readonly announcement: Announcement }
  | {
    readonly type: "MemberLoss";
    readonly service: string;
    readonly nodeId: string;
  }
  | { readonly type: "HolderSetUpdate"; readonly sets: HolderSets }
  | { readonly type: "DrainOrder" }
  | {
    readonly type: "HeartbeatAnswer";
    readonly isConfirmed: boolean;
    /** Link addresses of all replicas, where no settings list them. */
    readonly replicas?: readonly string[];
  };

/** What a control replica sends on the links that it accepted. */
export type OutboundMessage =
  | ControlMessage
  | PresenceMessage
  | ClusterMessage;

/** How often a node says that it lives. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Silence after which the other end is given up. */
export const LINK_TIMEOUT_MS = 3_500;

/** Whether a message is one that replicas exchange. */
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
