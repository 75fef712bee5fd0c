/** The backend servers that a node may choose from, and their loads. */
import type { LoadFigures } from "../../mesh/common/frames.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** One backend server as this node sees it. */
export interface Member {
  announcement: Announcement;
  /** Calls of this node that it has not answered. */
  outstanding: number;
  /** Calls of this node that were sent since the load was heard. */
  sentSinceLoad: number;
  load: LoadFigures | undefined;
  loadAtMs: number;
  /** Pressure below the routes that make calls there, as it says. */
  below: readonly (readonly [string, number])[];
  /** Mean time until an answer, relative to the service's other members. */
  latencyMs: number;
  /** Smoothed share of failures among the answers. */
  failureShare: number;
  /** Answers in a row that were failures. */
  failures: number;
  /** Until when it is chosen only where no other is left. */
  ejectedUntilMs: number;
  /** Since when calls of this node have been in progress there. */
  busySinceMs: number;
}

/** How a choice is made. */
export interface ChoiceOptions {
  readonly service: string;
  readonly dataCentre: string;
  /** Addresses that this call was at. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** From 0 to 1; breaks ties. */
  readonly draw: number;
  /** Whether a member has been silent while calls are in progress there. */
  readonly isSilent: (member: Member) => boolean;
}

/** A load that is older than this says nothing. */
const LOAD_VALID_MS = 1_000;
/** Worth of the own data centre, in parts of a backend server's places. */
const FAR_PENALTY = 0.15;
/** Answers after which a failing member is left out for a while. */
const EJECT_AFTER = 3;
const EJECT_MS = 1_000;
/**
 * Wait before a node whose link was lost is probed, and between probes: a
 * process that was started again listens after about a second.
 */
const PROBE_AFTER_MS = 300;
const LATENCY_GAIN = 0.1;
const FAILURE_GAIN = 0.05;

/** Holds members by service and address. */
export class MemberTable {
  readonly #services = new Map<string, Map<string, Member>>();
  /**
   * Addresses whose links were lost, with when they are due to be probed; no
   * call goes there before they are heard again.
   */
  readonly #unproven = new Map<string, number>();

  /** Whether the members of a service were ever told. */
  isKnown(service: string): boolean {
    return this.#services.has(service);
  }

  /** Replaces the members of a service. */
  replace(service: string, announcements: readonly Announcement[]): void {
    const before = this.#services.get(service);
    const members = new Map<string, Member>();
    for (const announcement of announcements) {
      const { ingress } = announcement;
      members.set(ingress, renewMember(before?.get(ingress), announcement));
    }
    this.#services.set(service, members);
  }

  /** Adds a member, or takes its newer announcement. */
  put(announcement: Announcement): void {
    const { service, ingress } = announcement;
    const members = this.#services.get(service) ?? new Map<string, Member>();
    this.#services.set(service, members);
    members.set(ingress, renewMember(members.get(ingress), announcement));
  }

  /** Removes the member with a node id. */
  remove(service: string, nodeId: string): void {
    const members = this.#services.get(service);
    for (const [ingress, { announcement }] of members ?? []) {
      if (announcement.nodeId === nodeId) {
        members!.delete(ingress);
      }
    }
  }

  /** Removes the member at an address: another service runs there. */
  removeAddress(service: string, address: string): void {
    this.#services.get(service)?.delete(address);
  }

  /** Gets a member; undefined where it has left. */
  get(service: string, address: string): Member | undefined {
    return this.#services.get(service)?.get(address);
  }

  /** Lists the members of a service. */
  list(service: string): readonly Member[] {
    return [...this.#services.get(service)?.values() ?? []];
  }

  /** Lists the services whose members are known. */
  listServices(): readonly string[] {
    return [...this.#services.keys()];
  }

  /** Takes a load that a member says of itself. */
  noteLoad(address: string, load: LoadFigures, nowMs: number): void {
    this.#unproven.delete(address);
    for (const members of this.#services.values()) {
      const member = members.get(address);
      if (member !== undefined) {
        member.load = load;
        member.loadAtMs = nowMs;
        member.sentSinceLoad = 0;
      }
    }
  }

  /** Takes the pressure that a member says is below its routes. */
  noteBelow(
    address: string,
    below: readonly (readonly [string, number])[],
  ): void {
    for (const members of this.#services.values()) {
      const member = members.get(address);
      if (member !== undefined) {
        member.below = below;
      }
    }
  }

  /** Leaves the members at an address out until they are heard again. */
  suspect(address: string, nowMs: number): void {
    this.#unproven.set(address, nowMs + PROBE_AFTER_MS);
  }

  /** Lists the addresses that are to be probed now. */
  takeDueProbes(nowMs: number): readonly string[] {
    const due: string[] = [];
    for (const [address, dueMs] of this.#unproven) {
      if (dueMs > nowMs) {
        continue;
      }
      if (this.#has(address)) {
        this.#unproven.set(address, nowMs + PROBE_AFTER_MS);
        due.push(address);
      } else {
        this.#unproven.delete(address);
      }
    }
    return due;
  }

  /** Counts the nodes that share a budget with this one. */
  countNodes(): number {
    let count = 0;
    for (const members of this.#services.values()) {
      count += members.size;
    }
    return count;
  }

  /** Computes the pressure of a service: the mean over its members. */
  computePressure(service: string, nowMs: number): number {
    let sum = 0;
    let count = 0;
    for (const member of this.#services.get(service)?.values() ?? []) {
      const { load, loadAtMs } = member;
      if (
        load !== undefined && load.limit > 0 &&
        nowMs - loadAtMs < LOAD_VALID_MS
      ) {
        sum += load.pressure * load.limit;
        count += load.limit;
      }
    }
    return count === 0 ? 0 : sum / count;
  }

  /** Computes the pressure on the whole way of a route's requests. */
  computeWayPressure(service: string, route: string, nowMs: number): number {
    let sum = 0;
    let count = 0;
    for (const member of this.#services.get(service)?.values() ?? []) {
      if (nowMs - member.loadAtMs < LOAD_VALID_MS) {
        const below = member.below
          .find(([parent]) => parent === route)?.[1] ?? 0;
        sum += below;
        count += 1;
      }
    }
    const below = count === 0 ? 0 : sum / count;
    return Math.max(below, this.computePressure(service, nowMs));
  }

  /** Whether the members of a service call no other one. */
  isLeaf(service: string): boolean {
    return this.list(service).every(({ below }) => below.length === 0);
  }

  /** Chooses the member with the most room for its share, nearest first. */
  choose(options: ChoiceOptions): Member | undefined {
    const { service, tried, nowMs, isSilent } = options;
    const members = this.list(service).filter(({ announcement }) =>
      !announcement.isDraining && !tried.has(announcement.ingress)
    );
    const sound = members.filter((member) =>
      member.ejectedUntilMs <= nowMs && !isSilent(member) &&
      !this.#unproven.has(member.announcement.ingress)
    );
    const pool = sound.length > 0 ? sound : members;
    let best: Member | undefined;
    let bestScore = Infinity;
    pool.forEach((member, at) => {
      const jitter = ((at + 1) * options.draw * 7.31 % 1) * 0.02;
      const score = computeScore(member, options) + jitter;
      if (score < bestScore) {
        best = member;
        bestScore = score;
      }
    });
    return best;
  }

  #has(address: string): boolean {
    return [...this.#services.values()].some((members) => members.has(address));
  }
}

/** Notes what an answer, or its absence, says of a member. */
export function noteResult(
  member: Member,
  result: { readonly isFailure: boolean; readonly latencyMs: number },
  nowMs: number,
): void {
  member.failureShare += (Number(result.isFailure) - member.failureShare) *
    FAILURE_GAIN;
  if (!result.isFailure) {
    member.failures = 0;
    member.latencyMs += (result.latencyMs - member.latencyMs) *
      (member.latencyMs === 0 ? 1 : LATENCY_GAIN);
    return;
  }
  member.failures += 1;
  if (member.failures >= EJECT_AFTER) {
    member.failures = 0;
    member.ejectedUntilMs = nowMs + EJECT_MS;
  }
}

/** Share of the places that would be taken, with the call counted. */
function computeScore(member: Member, options: ChoiceOptions): number {
  const { announcement, load, loadAtMs, outstanding, sentSinceLoad } = member;
  const isFresh = load !== undefined &&
    options.nowMs - loadAtMs < LOAD_VALID_MS;
  const places = Math.max(1, isFresh ? load.limit : announcement.slots);
  const inUse = isFresh
    ? Math.max(outstanding, load.running + load.queued + sentSinceLoad)
    : outstanding;
  const distance = announcement.dataCentre === options.dataCentre
    ? 0
    : FAR_PENALTY;
  return (inUse + 1) / places + distance + member.failureShare +
    (isFresh && load.limit === 0 ? 100 : 0);
}

/** Calls in progress hold on to the member, so that it is kept. */
function renewMember(
  before: Member | undefined,
  announcement: Announcement,
): Member {
  if (before === undefined) {
    return createMember(announcement);
  }
  const isSame = before.announcement.nodeId === announcement.nodeId &&
    before.announcement.incarnation === announcement.incarnation;
  if (!isSame) {
    const { outstanding } = before;
    Object.assign(before, createMember(announcement), { outstanding });
  }
  before.announcement = announcement;
  return before;
}

function createMember(announcement: Announcement): Member {
  return {
    announcement,
    outstanding: 0,
    sentSinceLoad: 0,
    load: undefined,
    loadAtMs: 0,
    below: [],
    latencyMs: 0,
    failureShare: 0,
    failures: 0,
    ejectedUntilMs: 0,
    busySinceMs: 0,
  };
}
