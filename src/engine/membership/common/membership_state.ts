/** The state of presence at one control replica. */
import type { Announcement } from "./announcement.ts";
import type { Departures } from "./departures.ts";
import type { MemberIndex } from "./member_index.ts";
import type { Presence } from "./presence_messages.ts";

/** A node of a service, as long as its lease is valid. */
export interface Member extends Presence {
  /** Process instance of the replica to which the node is linked. */
  readonly owner: string;
}

/** A node that is linked to this replica. */
export interface LinkedNode {
  /**
   * When the node's last message was received; steady clock in milliseconds.
   */
  readonly lastReceivedAtMs: number;
  /** Version of the table that the node confirmed to be in force. */
  readonly tableVersion: number;
}

/**
 * Another replica's process instance, which owns the nodes linked to it: only
 * it renews their leases and publishes their changes.
 */
export interface Owner {
  /** Highest heartbeat number received of the owner, see `OwnerDigest.beat`. */
  readonly beat: number;
  /**
   * Sequence of the owner's changes up to which this replica knows its nodes;
   * `UNKNOWN_SEQUENCE` if their list must be fetched.
   */
  readonly sequence: number;
  /** When a sign of life was last received; steady clock in milliseconds. */
  readonly lastReceivedAtMs: number;
  /** Version of the table confirmed by each of its nodes not in `behind`. */
  readonly tableVersion: number;
  /** Versions confirmed by the other nodes, by node id. */
  readonly behind: ReadonlyMap<string, number>;
}

/** Members, and the leases of nodes and replicas. */
export interface MembershipState {
  /** This replica's process instance: `id@startedAtMs`. */
  readonly self: string;
  /** Steady clock in milliseconds, as are the other times. */
  readonly startedAtMs: number;
  readonly lastTickAtMs: number;
  readonly lastDigestAtMs: number;
  /** Number of digests that this process instance has sent. */
  readonly beat: number;
  /** Number of changes of the nodes linked to this replica. */
  readonly sequence: number;
  /** The nodes of all replicas, by node id. */
  readonly members: ReadonlyMap<string, Member>;
  /** The same members by service. */
  readonly index: MemberIndex;
  /** Backend servers that have left lately. */
  readonly departures: Departures;
  /** The nodes linked to this replica, by node id. */
  readonly linkedNodes: ReadonlyMap<string, LinkedNode>;
  /** The process instances of the other replicas, by name. */
  readonly owners: ReadonlyMap<string, Owner>;
}

/** How long a node or replica is considered alive after its last message. */
export const LEASE_MS = 8_000;
/** Interval at which a replica sends its digest to the others. */
export const DIGEST_INTERVAL_MS = 1_000;
/** Time after its start during which a replica's lists may be incomplete. */
export const WARM_UP_MS = 15_000;
/**
 * A longer gap between ticks is a suspension of this replica or a clock step.
 */
export const MAX_TICK_GAP_MS = 2_000;
/** Silence after which a replica's process instance is removed. */
export const OWNER_RETENTION_MS = 600_000;
/** Sequence of an owner whose list of nodes must be fetched. */
export const UNKNOWN_SEQUENCE = -1;

/** Creates the state of a replica that starts at `nowMs`, the steady clock. */
export function createMembership(
  replicaId: string,
  nowMs: number,
): MembershipState {
  return {
    self: `${replicaId}@${nowMs}`,
    startedAtMs: nowMs,
    lastTickAtMs: nowMs,
    lastDigestAtMs: nowMs,
    beat: 0,
    sequence: 0,
    members: new Map(),
    index: new Map(),
    departures: new Map(),
    linkedNodes: new Map(),
    owners: new Map(),
  };
}

/** Parses the replica id from the name of one of its process instances. */
export function parseReplicaId(owner: string): string {
  return owner.slice(0, owner.lastIndexOf("@"));
}

/** Lists the members of one service. */
export function listMembers(
  state: MembershipState,
  service: string,
): readonly Announcement[] {
  return [...state.index.get(service)?.values() ?? []];
}

/** Whether the lists are complete: a node that isn't listed is no member. */
export function isMemberListComplete(
  state: MembershipState,
  nowMs: number,
): boolean {
  return nowMs - state.startedAtMs >= WARM_UP_MS;
}

/** Whether the lease of an owner is valid. */
export function isOwnerAlive(owner: Owner, nowMs: number): boolean {
  return nowMs - owner.lastReceivedAtMs <= LEASE_MS;
}

/** A node's confirmed version and silence, as known to this replica. */
export interface MemberReport {
  readonly announcement: Announcement;
  /** Process instance of the replica to which the node is linked. */
  readonly owner: string;
  /** Version of the table that the node confirmed; null if unknown. */
  readonly tableVersion: number | null;
  /**
   * Time since the last message of the node, or of the other replica to which
   * it is linked, in milliseconds.
   */
  readonly silentMs: number;
}

/** Lists the reports of all members. */
export function listReports(
  state: MembershipState,
  nowMs: number,
): readonly MemberReport[] {
  return [...state.members.values()].map((member) => {
    const { announcement, owner } = member;
    const { nodeId } = announcement;
    const linkedNode = state.linkedNodes.get(nodeId);
    const ownerReplica = state.owners.get(owner);
    const tableVersion = owner === state.self
      ? linkedNode?.tableVersion
      : ownerReplica?.behind.get(nodeId) ?? ownerReplica?.tableVersion;
    const lastReceivedAtMs = owner === state.self
      ? linkedNode?.lastReceivedAtMs
      : ownerReplica?.lastReceivedAtMs;
    return {
      announcement,
      owner,
      tableVersion: tableVersion ?? null,
      silentMs: nowMs - (lastReceivedAtMs ?? state.startedAtMs),
    };
  });
}
