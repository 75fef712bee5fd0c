/** The backend servers that a node may choose from, and their loads. */
import type {
  DownstreamPressure,
  LoadFigures,
} from "../../mesh/common/frames.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { renewMember } from "./member.ts";
import type { BelowMember, Member } from "./member.ts";
import { chooseMember, listReliable, LOAD_VALID_MS } from "./member_choice.ts";
import type { ChoiceOptions } from "./member_choice.ts";

/** Pressure on a way, and when the gate under it said so. */
export interface WayPressure {
  readonly pressure: number;
  readonly saidAtMs: number;
}

const NO_PRESSURE: WayPressure = { pressure: 0, saidAtMs: 0 };
/**
 * Pressure that a gate said so long ago is gone: it may have been passed on
 * over seven levels, 100 ms apart, and must end where nodes pass it in a
 * circle.
 */
const WAY_VALID_MS = 1_500;
/**
 * Wait before a node whose link was lost is probed, and between probes: a
 * process that was started again listens after about a second.
 */
const PROBE_AFTER_MS = 300;

/** Holds members by service and address. */
export class MemberTable {
  readonly #services = new Map<string, Map<string, Member>>();
  /** Services of which control has told all members since the start. */
  readonly #complete = new Set<string>();
  /**
   * Addresses whose links were lost, with when they are due to be probed; no
   * call goes there before they are heard again.
   */
  readonly #unproven = new Map<string, number>();

  /** Whether the members of a service were ever told. */
  isKnown(service: string): boolean {
    return this.#services.has(service);
  }

  /** Whether all members of a service were told, not just those known early. */
  isComplete(service: string): boolean {
    return this.#complete.has(service);
  }

  /** Notes that all members of a service were told. */
  noteComplete(service: string): void {
    this.#complete.add(service);
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
    below: readonly DownstreamPressure[],
    nowMs: number,
  ): void {
    const told = below.map(([route, pressure, ageMs]) => ({
      route,
      pressure,
      saidAtMs: nowMs - ageMs,
    }));
    for (const members of this.#services.values()) {
      const member = members.get(address);
      if (member !== undefined) {
        member.below = told;
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

  /** Counts the nodes of each service. */
  countByService(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#services].map(([name, members]) => [name, members.size]),
    );
  }

  /** Counts the nodes that share a budget with this one. */
  countNodes(): number {
    let count = 0;
    for (const members of this.#services.values()) {
      count += members.size;
    }
    return count;
  }

  /**
   * Computes the pressure of a service: the mean over the members that calls go
   * to. One that is left out for its failures has room, but for nobody.
   */
  computePressure(service: string, nowMs: number): WayPressure {
    let sum = 0;
    let count = 0;
    let saidAtMs = 0;
    const open = this.list(service).filter(({ load, loadAtMs }) =>
      load !== undefined && load.limit > 0 && nowMs - loadAtMs < LOAD_VALID_MS
    );
    for (const { load, loadAtMs } of listReliable(open)) {
      sum += load!.pressure * load!.limit;
      count += load!.limit;
      saidAtMs = Math.max(saidAtMs, loadAtMs);
    }
    return count === 0 ? NO_PRESSURE : { pressure: sum / count, saidAtMs };
  }

  /** Computes the pressure on the whole way of a route's requests. */
  computeWayPressure(
    service: string,
    route: string,
    nowMs: number,
  ): WayPressure {
    const own = this.computePressure(service, nowMs);
    const below = this.#computeBelow(service, route, nowMs);
    return below.pressure > own.pressure ? below : own;
  }

  /** What members say, each counting as much as it may run. */
  #computeBelow(service: string, route: string, nowMs: number): WayPressure {
    let sum = 0;
    let count = 0;
    let saidAtMs = 0;
    for (const member of this.#services.get(service)?.values() ?? []) {
      if (nowMs - member.loadAtMs >= LOAD_VALID_MS) {
        continue;
      }
      count += 1;
      const found = member.below?.find((one) => one.route === route);
      if (found !== undefined && nowMs - found.saidAtMs < WAY_VALID_MS) {
        sum += found.pressure;
        saidAtMs = Math.max(saidAtMs, found.saidAtMs);
      }
    }
    return sum === 0 ? NO_PRESSURE : { pressure: sum / count, saidAtMs };
  }

  /** Whether the members of a service are known to call no other one. */
  isLeaf(service: string): boolean {
    const told = this.#listBelow(service);
    return told.length > 0 && told.every((below) => below.length === 0);
  }

  /** Whether a member has said that runs of a route make calls there. */
  hasCallsBelow(service: string, route: string): boolean {
    return this.#listBelow(service)
      .some((below) => below.some((one) => one.route === route));
  }

  /** What members have said is below them. */
  #listBelow(service: string): readonly (readonly BelowMember[])[] {
    return this.list(service).flatMap(({ below }) =>
      below === undefined ? [] : [below]
    );
  }

  /** Chooses the member of a service that a call is sent to. */
  choose(service: string, options: ChoiceOptions): Member | undefined {
    const { tried } = options;
    const members = this.list(service).filter(({ announcement }) =>
      !announcement.isDraining && !tried.has(announcement.ingress)
    );
    const proven = members.filter(({ announcement }) =>
      !this.#unproven.has(announcement.ingress)
    );
    return chooseMember(proven.length > 0 ? proven : members, options);
  }

  #has(address: string): boolean {
    return [...this.#services.values()].some((members) => members.has(address));
  }
}
