/**
 * Messages by which control replicas exchange presence; none of it is
 * persisted.
 */
import type { WorkspaceUsage } from "../../workspaces/common/quota_shares.ts";
import type { Announcement } from "./announcement.ts";

/** A node as published by its owner, the replica to which it is linked. */
export interface Presence {
  readonly announcement: Announcement;
  /**
   * Number of links that the node has opened; a later link takes precedence.
   */
  readonly linkNumber: number;
}

/** Changes of one owner's nodes; applied in the order of its sequence. */
export interface PresenceDelta {
  readonly type: "PresenceDelta";
  /** Process instance of the replica. */
  readonly owner: string;
  /** The owner's sequence before the change. */
  readonly fromSequence: number;
  /** The owner's sequence after the change. */
  readonly sequence: number;
  readonly put: readonly Presence[];
  /** Node ids. */
  readonly removed: readonly string[];
}

/** All nodes of one owner as of a sequence. */
export interface PresenceList {
  readonly type: "PresenceList";
  readonly owner: string;
  readonly sequence: number;
  readonly nodes: readonly Presence[];
}

/** The sender's state of one owner; renews the leases of the owner's nodes. */
export interface OwnerDigest {
  readonly owner: string;
  /**
   * Number of the owner's own digests (heartbeats): a new one proves it is
   * alive.
   */
  readonly beat: number;
  /** Sequence up to which the sender knows the owner's nodes. */
  readonly sequence: number;
  /** Version of the table confirmed by each of its nodes not in `behind`. */
  readonly tableVersion: number;
  /** Ids of the other nodes with the version that they confirmed. */
  readonly behind: readonly (readonly [string, number])[];
}

/** The sender's state of every owner that is alive, itself first. */
export interface PresenceDigest {
  readonly type: "PresenceDigest";
  readonly owners: readonly OwnerDigest[];
}

/**
 * Usage of the workspaces near a limit, summed over the nodes of one replica.
 */
export interface UsageDigest {
  readonly type: "UsageDigest";
  /** Id of the replica, not of its process instance. */
  readonly owner: string;
  readonly usages: readonly WorkspaceUsage[];
  /** Number of nodes linked to the owner. */
  readonly nodes: number;
}

/** A message between control replicas. */
export type PresenceMessage =
  | PresenceDelta
  | PresenceList
  | PresenceDigest
  | UsageDigest
  /** Requests the list of one owner's nodes from a replica that has it. */
  | { readonly type: "PresenceFetch"; readonly owner: string }
  /**
   * Requests a drain of a node; the replica to which it is linked forwards it.
   */
  | { readonly type: "DrainRelay"; readonly nodeId: string };

/** The link on which a message arrived, and to which replies are sent. */
export type PresenceChannel =
  | { readonly type: "Accepted"; readonly linkId: number }
  | { readonly type: "Dialled"; readonly replica: string };
