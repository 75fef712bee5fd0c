/** The state of a control replica, its events and its effects. */
import { setEntry } from "../../../base/common/maps.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type {
  NodeMessage,
  OutboundMessage,
} from "../../link/common/link_messages.ts";
import { createMembership } from "../../membership/common/membership_state.ts";
import type { MembershipState } from "../../membership/common/membership_state.ts";
import type {
  PresenceChannel,
  PresenceMessage,
} from "../../membership/common/presence_messages.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
} from "../../workspaces/common/quota_shares.ts";
import { INITIAL_TABLE_STATE } from "../../table/common/table_reducer.ts";
import type { TableState } from "../../table/common/table_reducer.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { TimelineEvent } from "../../telemetry/common/timeline_event.ts";
import type { CrashRecords } from "./crash_records.ts";
import type { HoldersState } from "./holders.ts";
import { INITIAL_READ_ROUNDS } from "./routes_proof.ts";
import type { ProofRequest, ReadRounds } from "./routes_proof.ts";
import type { ReceivedUsage } from "./usage_step.ts";

/** A node's link to this replica. */
export interface Link {
  /** Undefined until the node has announced itself. */
  readonly nodeId: string | undefined;
  /** The service of the node. */
  readonly service: string | undefined;
  /** Services to whose members the node subscribes. */
  readonly services: readonly string[];
  /** Version of the table that the node confirmed to be in force. */
  readonly tableVersion: number;
  /** Version of the table that was last sent; the node may not have it yet. */
  readonly sentVersion: number;
  /** When the table was last sent; steady clock in milliseconds. */
  readonly sentAtMs: number;
  /** Version of the routes that the node confirmed. */
  readonly routesVersion: number;
  /** Version of the routes that was last sent. */
  readonly sentRoutesVersion: number;
  /** When the routes were last sent; steady clock in milliseconds. */
  readonly sentRoutesAtMs: number;
  /** Outstanding requests for proofs, oldest first. */
  readonly proofRequests: readonly ProofRequest[];
  /** Whether the node reads updates of evidence against requests. */
  readonly wantsCrashes: boolean;
  /** Usage last reported by the node; undefined before its first report. */
  readonly usage: ReceivedUsage | undefined;
}

/** The state of a control replica that concerns its nodes. */
export interface ControlState {
  /** The replicated table and routes in force. */
  readonly tableState: TableState;
  /** Whether a quorum has confirmed that the table is current. */
  readonly isTableConfirmed: boolean;
  /** Rounds of reads by which this replica proves that its table is current. */
  readonly readRounds: ReadRounds;
  /** Earlier tables from which deltas can start, oldest first. */
  readonly recentTables: readonly Table[];
  readonly membership: MembershipState;
  /**
   * Whether its lists of members are complete, and subscribers were sent them.
   */
  readonly isWarm: boolean;
  /** Open links, by id. */
  readonly links: ReadonlyMap<number, Link>;
  /** The committed holder sets, by service. */
  readonly holders: HoldersState;
  /** The committed evidence against requests, by service. */
  readonly crashes: CrashRecords;
  /** Link addresses of the replicas; empty without discovery. */
  readonly replicas: readonly string[];
  /** Undefined if limits of workspaces are not enforced. */
  readonly quotaTerms: QuotaTerms | undefined;
  /** Steady clock in milliseconds. */
  readonly startedAtMs: number;
  /**
   * Usage and number of nodes last reported by other replicas, by replica id.
   */
  readonly usageDigests: ReadonlyMap<
    string,
    ReceivedUsage & { readonly nodes: number }
  >;
  /** When usage was last sent to the replicas; steady clock in milliseconds. */
  readonly usageSentAtMs: number;
  /** Shares last sent to the nodes; undefined before the first ones. */
  readonly sentShares: readonly WorkspaceShare[] | undefined;
}

/** An event at a control replica. */
export type ControlEvent =
  | {
    readonly type: "NodeMessageReceived";
    readonly linkId: number;
    readonly message: NodeMessage;
  }
  | {
    readonly type: "PresenceReceived";
    readonly channel: PresenceChannel;
    readonly message: PresenceMessage;
  }
  | { readonly type: "LinkClosed"; readonly linkId: number }
  /** The replicated table, or its confirmation, changed. */
  | {
    readonly type: "TableReplaced";
    readonly tableState: TableState;
    /** Whether the confirmation by a quorum is recent enough. */
    readonly isCurrent: boolean;
  }
  /** A round of reads was started or confirmed. */
  | { readonly type: "RoundsReplaced"; readonly readRounds: ReadRounds }
  /** The committed holder sets changed. */
  | { readonly type: "HoldersReplaced"; readonly holders: HoldersState }
  /** The committed evidence against requests changed. */
  | { readonly type: "CrashesReplaced"; readonly crashes: CrashRecords }
  | { readonly type: "DrainOrdered"; readonly nodeId: string }
  | { readonly type: "Ticked" };

/** An effect of a control replica. */
export type ControlEffect =
  | {
    readonly type: "SendToLink";
    readonly linkId: number;
    readonly message: OutboundMessage;
  }
  /** Sends to every other replica that is linked. */
  | { readonly type: "SendToReplicas"; readonly message: PresenceMessage }
  | {
    readonly type: "SendToReplica";
    readonly replica: string;
    readonly message: PresenceMessage;
  }
  | { readonly type: "RecordEvent"; readonly event: TimelineEvent };

/** A state of a control replica and the effects of reaching it. */
export type ControlStep = Reduction<ControlState, ControlEffect>;

/** A link on which nothing was received yet. */
export const NEW_LINK: Link = {
  nodeId: undefined,
  service: undefined,
  services: [],
  tableVersion: 0,
  sentVersion: 0,
  sentAtMs: 0,
  routesVersion: 0,
  sentRoutesVersion: 0,
  sentRoutesAtMs: 0,
  proofRequests: [],
  wantsCrashes: false,
  usage: undefined,
};

/**
 * Creates the initial state of a replica that starts at `nowMs`, the steady
 * clock.
 */
export function createControl(
  replicaId: string,
  nowMs: number,
  quotaTerms?: QuotaTerms,
): ControlState {
  return {
    tableState: INITIAL_TABLE_STATE,
    isTableConfirmed: false,
    readRounds: INITIAL_READ_ROUNDS,
    recentTables: [],
    membership: createMembership(replicaId, nowMs),
    isWarm: false,
    links: new Map(),
    holders: new Map(),
    crashes: new Map(),
    replicas: [],
    quotaTerms,
    startedAtMs: nowMs,
    usageDigests: new Map(),
    usageSentAtMs: 0,
    sentShares: undefined,
  };
}

/** Updates fields of a link; creates the link if it is unknown. */
export function updateLink(
  state: ControlState,
  linkId: number,
  change: Partial<Link>,
): ControlState {
  const link = { ...(state.links.get(linkId) ?? NEW_LINK), ...change };
  return { ...state, links: setEntry(state.links, linkId, link) };
}

/** Lists the ids of the links that match a predicate. */
export function listLinks(
  state: ControlState,
  predicate: (link: Link) => boolean,
): readonly number[] {
  return [...state.links]
    .filter(([, link]) => predicate(link))
    .map(([linkId]) => linkId);
}

/** Creates the effect that sends a message on a link. */
export function createSend(
  linkId: number,
  message: OutboundMessage,
): ControlEffect {
  return { type: "SendToLink", linkId, message };
}
