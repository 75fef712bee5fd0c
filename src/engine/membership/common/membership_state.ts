/** Presence as one control replica holds it. */
import type { Announcement } from "./announcement.ts";
import type { MemberIndex } from "./member_index.ts";
import type { Presence } from "./presence_messages.ts";

/** A node whose lease runs, and the replica that hears it. */
export interface Member extends Presence {
  readonly owner: string;
}

/** A node that this replica hears itself. */
export interface DirectNode {
  /** Wall clock in milliseconds. */
  readonly heardMs: number;
  /** Version that the node confirmed to be in force. */
  readonly tableVersion: number;
}

/** Another replica, in one run of its process. */
export interface Owner {
  readonly beat: number;
  /** What this replica has of its nodes; `UNKNOWN_SEQUENCE` is nothing. */
  readonly sequence: number;
  readonly heardMs: number;
  readonly tableVersion: number;
  readonly behind: ReadonlyMap<string, number>;
}

/** Members by node id, and what renews their leases. */
export interface MembershipState {
  /** This replica in this run: its id and its start. */
  readonly self: string;
  readonly startedAtMs: number;
  readonly lastTickMs: number;
  readonly lastDigestMs: number;
  readonly beat: number;
  /** Counts the changes of the nodes that this replica hears. */
  readonly sequence: number;
  readonly members: ReadonlyMap<string, Member>;
  /** The same members by service. */
  readonly index: MemberIndex;
  readonly direct: ReadonlyMap<string, DirectNode>;
  readonly owners: ReadonlyMap<string, Owner>;
}

/** How long a node, or a replica, counts after it was last heard. */
export const LEASE_MS = 8_000;
/** How often a replica tells the others that it lives. */
export const DIGEST_MS = 1_000;
/** After its start a replica doesn't take its lists for complete. */
export const WARM_UP_MS = 15_000;
/** A longer pause between ticks was this replica's own. */
export const PAUSE_MS = 2_000;
/** When a silent replica without nodes is no longer counted. */
export const FORGET_OWNER_MS = 600_000;
/** The nodes of an owner have to be fetched. */
export const UNKNOWN_SEQUENCE = -1;

/** Creates the presence of a replica that starts at `nowMs`. */
export function createMembership(
  replicaId: string,
  nowMs: number,
): MembershipState {
  return {
    self: `${replicaId}@${nowMs}`,
    startedAtMs: nowMs,
    lastTickMs: nowMs,
    lastDigestMs: nowMs,
    beat: 0,
    sequence: 0,
    members: new Map(),
    index: new Map(),
    direct: new Map(),
    owners: new Map(),
  };
}

/** Reads the replica's id out of the name of one of its runs. */
export function readReplicaId(owner: string): string {
  return owner.slice(0, owner.lastIndexOf("@"));
}

/** Lists the members of one service. */
export function listMembers(
  state: MembershipState,
  service: string,
): readonly Announcement[] {
  return [...state.index.get(service)?.values() ?? []];
}

/** Whether a node that isn't listed is no member. */
export function isComplete(state: MembershipState, nowMs: number): boolean {
  return nowMs - state.startedAtMs >= WARM_UP_MS;
}

/** Whether an owner was heard within its lease. */
export function isOwnerHeard(owner: Owner, nowMs: number): boolean {
  return nowMs - owner.heardMs <= LEASE_MS;
}

/** A node's version and silence, as far as this replica knows. */
export interface MemberReport {
  readonly announcement: Announcement;
  /** Id and start of the replica that hears the node. */
  readonly owner: string;
  /** Version that it confirmed; null where that isn't known. */
  readonly tableVersion: number | null;
  /** Milliseconds since it, or the replica that hears it, was heard. */
  readonly silentMs: number;
}

/** Lists all members with what each confirmed. */
export function listReports(
  state: MembershipState,
  nowMs: number,
): readonly MemberReport[] {
  return [...state.members.values()].map((member) => {
    const { announcement, owner } = member;
    const { nodeId } = announcement;
    const direct = state.direct.get(nodeId);
    const source = state.owners.get(owner);
    const tableVersion = owner === state.self
      ? direct?.tableVersion
      : source?.behind.get(nodeId) ?? source?.tableVersion;
    const heardMs = owner === state.self ? direct?.heardMs : source?.heardMs;
    return {
      announcement,
      owner,
      tableVersion: tableVersion ?? null,
      silentMs: nowMs - (heardMs ?? state.startedAtMs),
    };
  });
}
