/** The members of all services, with their loads and reported pressure. */
import type {
  BackendNotice,
  DownstreamPressure,
  LoadFigures,
} from "../../mesh/common/frames.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { mergeNotices } from "./backend_notice.ts";
import { resumeMember, updateMember } from "./member.ts";
import type { Bottleneck, Member, RoutePressure } from "./member.ts";
import { chooseMember, listReliable, LOAD_VALID_MS } from "./member_choice.ts";
import type { ChoiceOptions } from "./member_choice.ts";

/** Pressure on a call path: the service of a call and those downstream. */
export interface PathPressure {
  /** 0 to 1. */
  readonly pressure: number;
  /** When the gate under pressure reported it, by this node's clock. */
  readonly reportedAtMs: number;
}

/** Where the pressure on a call path comes from, for the log. */
export interface PressureSource {
  /** `own` for the service of the call itself. */
  readonly path: "own" | "downstream";
  /** Member with the highest pressure there, or downstream as it reports it. */
  readonly member: string | undefined;
  /** 0 to 1. */
  readonly memberPressure: number;
  /** Time since that report. */
  readonly ageMs: number;
  /** Members of the service of the call with a fresh load. */
  readonly freshMembers: number;
  /** Those of them that are held to be failing. */
  readonly failingMembers: number;
  /** Slots of the fresh members that were idle when they reported. */
  readonly idleSlots: number;
}

const NO_PRESSURE: PathPressure = { pressure: 0, reportedAtMs: 0 };
/**
 * Older downstream pressure is ignored. A report may pass through seven levels
 * of a call tree, 100 ms each, but must expire where nodes forward it in a
 * cycle.
 */
const PATH_PRESSURE_VALID_MS = 1_500;
/**
 * Delay before a node whose link was lost is probed, and between probes. A
 * restarted process listens again after about a second.
 */
const PROBE_DELAY_MS = 300;
/**
 * Most that the ratio of a member counts with: more capacity than this over its
 * demand makes up for no shortage at other members.
 */
const MAX_MEMBER_RATIO = 1.5;
/** Notices that are kept; above the backend servers that say something. */
const MAX_NOTICES = 4_096;

/** Stores members by service and address. */
export class MemberTable {
  readonly #services = new Map<string, Map<string, Member>>();
  /** Services whose complete member list was received since the start. */
  readonly #complete = new Set<string>();
  /**
   * Addresses whose links were lost, with the time of their next probe. Other
   * members are preferred until a load is received from the address.
   */
  readonly #suspected = new Map<string, number>();
  /**
   * Latest notices by address. They outlive the members: a restarted node has
   * forgotten what its backend server said, and the members of a service are
   * listed anew after a restart of control.
   */
  readonly #notices = new Map<string, BackendNotice>();
  /** Whether any gate was known to measure its capacity. */
  #hasRatios = false;

  /** Whether members of the service were ever recorded. */
  isKnown(service: string): boolean {
    return this.#services.has(service);
  }

  /**
   * Whether the complete member list of a service was received, and not just
   * single members that are known early.
   */
  isComplete(service: string): boolean {
    return this.#complete.has(service);
  }

  /** Marks the member list of a service as complete. */
  markComplete(service: string): void {
    this.#complete.add(service);
  }

  /** Replaces the members of a service. */
  replace(service: string, announcements: readonly Announcement[]): void {
    const before = this.#services.get(service);
    const members = new Map<string, Member>();
    for (const announcement of announcements) {
      const { ingress } = announcement;
      members.set(ingress, updateMember(before?.get(ingress), announcement));
    }
    this.#services.set(service, members);
  }

  /** Adds a member, or applies its newer announcement. */
  put(announcement: Announcement): void {
    const { service, ingress } = announcement;
    const members = this.#services.get(service) ?? new Map<string, Member>();
    this.#services.set(service, members);
    members.set(ingress, updateMember(members.get(ingress), announcement));
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

  /** Removes the member at an address where another service runs now. */
  removeAddress(service: string, address: string): void {
    this.#services.get(service)?.delete(address);
  }

  /** Gets a member; undefined if it was removed. */
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

  /** Records the load that the member at an address reports. */
  recordLoad(address: string, load: LoadFigures, nowMs: number): void {
    this.#suspected.delete(address);
    this.#hasRatios ||= load.spare !== undefined;
    for (const members of this.#services.values()) {
      const member = members.get(address);
      if (member !== undefined) {
        const silenceMs = nowMs - member.loadReceivedAtMs;
        if (member.load !== undefined && silenceMs >= LOAD_VALID_MS) {
          resumeMember(member, nowMs);
        }
        member.load = load;
        member.loadReceivedAtMs = nowMs;
        member.sentSinceLoad = 0;
      }
    }
  }

  /** Gets what the backend server of the node at an address says of itself. */
  getNotice(address: string): BackendNotice | undefined {
    return this.#notices.get(address);
  }

  /** Records a notice that the node at an address passes on. */
  recordNotice(address: string, notice: BackendNotice): void {
    const before = this.#notices.get(address);
    const isSameInstance = before?.instance === notice.instance;
    const merged = mergeNotices(isSameInstance ? before : undefined, notice);
    this.#notices.delete(address);
    this.#notices.set(address, merged);
    if (this.#notices.size > MAX_NOTICES) {
      const [oldest] = this.#notices.keys();
      this.#notices.delete(oldest!);
    }
  }

  /**
   * Lists the members of a service that take new calls, but for those at the
   * addresses that a call was sent to before.
   */
  listOpen(service: string, tried: ReadonlySet<string>): readonly Member[] {
    return this.list(service).filter((member) => {
      const { isDraining, ingress } = member.announcement;
      return !isDraining && !tried.has(ingress) &&
        !(this.#findNotice(member)?.isLeaving ?? false);
    });
  }

  /** Lists the open members whose links weren't lost; all if there are none. */
  listReachable(
    service: string,
    tried: ReadonlySet<string>,
  ): readonly Member[] {
    const members = this.listOpen(service, tried);
    const reachable = members.filter(({ announcement }) =>
      !this.#suspected.has(announcement.ingress)
    );
    return reachable.length > 0 ? reachable : members;
  }

  /** Finds the notice of a member's current process instance. */
  #findNotice({ announcement }: Member): BackendNotice | undefined {
    const { ingress, backendInstance } = announcement;
    const notice = this.#notices.get(ingress);
    const isCurrent = backendInstance === undefined ||
      backendInstance === notice?.instance;
    return isCurrent ? notice : undefined;
  }

  /** Records the pressure downstream of a member's routes, as it reports it. */
  recordDownstreamPressure(
    address: string,
    reports: readonly DownstreamPressure[],
    nowMs: number,
  ): void {
    const downstream = reports.map((report) => {
      const [route, pressure, ageMs, ratio, costMs = 0, service = ""] = report;
      const reportedAtMs = nowMs - ageMs;
      this.#hasRatios ||= ratio !== undefined;
      const bottleneck = ratio === undefined
        ? undefined
        : { service, ratio, costMs, reportedAtMs };
      return { route, pressure, reportedAtMs, bottleneck };
    });
    for (const members of this.#services.values()) {
      const member = members.get(address);
      if (member !== undefined) {
        member.downstream = downstream;
      }
    }
  }

  /**
   * Suspects the node at an address whose link was lost: its members are chosen
   * only if there is no other, until a load is received from them.
   */
  suspect(address: string, nowMs: number): void {
    this.#suspected.set(address, nowMs + PROBE_DELAY_MS);
  }

  /** Lists the addresses to probe now, and schedules their next probes. */
  takeDueProbes(nowMs: number): readonly string[] {
    const due: string[] = [];
    for (const [address, dueMs] of this.#suspected) {
      if (dueMs > nowMs) {
        continue;
      }
      if (this.#has(address)) {
        this.#suspected.set(address, nowMs + PROBE_DELAY_MS);
        due.push(address);
      } else {
        this.#suspected.delete(address);
      }
    }
    return due;
  }

  /** Counts the members of each service. */
  countByService(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#services].map(([name, members]) => [name, members.size]),
    );
  }

  /** Counts the nodes that calls may be sent to, those of all services. */
  countNodes(): number {
    let count = 0;
    for (const members of this.#services.values()) {
      count += members.size;
    }
    return count;
  }

  /**
   * Computes the pressure of a service: the mean over its reliable members,
   * weighted by their limits. The free capacity of failing members isn't used.
   */
  computePressure(service: string, nowMs: number): PathPressure {
    let sum = 0;
    let capacity = 0;
    let reportedAtMs = 0;
    const open = this.list(service).filter(({ load, loadReceivedAtMs }) =>
      load !== undefined && load.limit > 0 &&
      nowMs - loadReceivedAtMs < LOAD_VALID_MS
    );
    for (const { load, loadReceivedAtMs } of listReliable(open, nowMs)) {
      sum += load!.pressure * load!.limit;
      capacity += load!.limit;
      reportedAtMs = Math.max(reportedAtMs, loadReceivedAtMs);
    }
    return capacity === 0
      ? NO_PRESSURE
      : { pressure: sum / capacity, reportedAtMs };
  }

  /** Computes the highest pressure on the call path of a route's requests. */
  computePathPressure(
    service: string,
    route: string,
    nowMs: number,
  ): PathPressure {
    const own = this.computePressure(service, nowMs);
    const downstream = this.#computeDownstream(service, route, nowMs);
    return downstream.pressure > own.pressure ? downstream : own;
  }

  /** Describes where the pressure on the call path of a route comes from. */
  describePressure(
    service: string,
    route: string,
    nowMs: number,
  ): PressureSource {
    const fresh = this.#listFresh(service, nowMs);
    const reliable = listReliable(fresh, nowMs);
    const downstream = this.#computeDownstream(service, route, nowMs);
    const isOwn = downstream.pressure <=
      this.computePressure(service, nowMs).pressure;
    const { ingress, pressure, reportedAtMs } = findHighestReport(
      isOwn ? reliable : fresh,
      (member) =>
        isOwn
          ? { ...member.load!, reportedAtMs: member.loadReceivedAtMs }
          : member.downstream?.find((other) => other.route === route),
    );
    return {
      path: isOwn ? "own" : "downstream",
      member: ingress,
      memberPressure: pressure,
      ageMs: Math.round(nowMs - (reportedAtMs ?? nowMs)),
      freshMembers: fresh.length,
      failingMembers: fresh.length - reliable.length,
      idleSlots: fresh.reduce(
        (sum, { load }) =>
          sum + Math.max(0, Math.floor(load!.limit) - load!.running),
        0,
      ),
    };
  }

  /** Computes the mean downstream pressure over members with a fresh load. */
  #computeDownstream(
    service: string,
    route: string,
    nowMs: number,
  ): PathPressure {
    let sum = 0;
    let count = 0;
    let reportedAtMs = 0;
    for (const member of this.#services.get(service)?.values() ?? []) {
      if (nowMs - member.loadReceivedAtMs >= LOAD_VALID_MS) {
        continue;
      }
      count += 1;
      const entry = member.downstream?.find((other) => other.route === route);
      if (
        entry !== undefined &&
        nowMs - entry.reportedAtMs < PATH_PRESSURE_VALID_MS
      ) {
        sum += entry.pressure;
        reportedAtMs = Math.max(reportedAtMs, entry.reportedAtMs);
      }
    }
    return sum === 0 ? NO_PRESSURE : { pressure: sum / count, reportedAtMs };
  }

  /**
   * Finds the service with the least capacity for its demand on the call path
   * of a route's requests; undefined if no gate on it measures its capacity.
   */
  findBottleneck(
    service: string,
    route: string,
    nowMs: number,
  ): Bottleneck | undefined {
    if (!this.#hasRatios) {
      return undefined;
    }
    const own = this.#computeOwnRoom(service, nowMs);
    const downstream = this.#computeDownstreamRoom(service, route, nowMs);
    if (own === undefined || downstream === undefined) {
      return own ?? downstream;
    }
    return downstream.ratio < own.ratio ? downstream : own;
  }

  /**
   * Computes the capacity of a service's reliable members over its demand: the
   * mean of their ratios, weighted by their limits. One member with a queue of
   * its own is no shortage, as calls are sent to the others.
   */
  #computeOwnRoom(service: string, nowMs: number): Bottleneck | undefined {
    let capacity = 0;
    let spareCapacity = 0;
    let serviceMs = 0;
    let reportedAtMs = 0;
    const fresh = this.#listFresh(service, nowMs);
    for (const { load, loadReceivedAtMs } of listReliable(fresh, nowMs)) {
      const { spare, limit } = load!;
      if (spare !== undefined && limit > 0) {
        capacity += limit;
        spareCapacity += limit * Math.min(MAX_MEMBER_RATIO, spare);
        serviceMs += load!.serviceMs * limit;
        reportedAtMs = Math.max(reportedAtMs, loadReceivedAtMs);
      }
    }
    if (capacity === 0) {
      return undefined;
    }
    const ratio = spareCapacity / capacity;
    return { service, ratio, costMs: serviceMs / capacity, reportedAtMs };
  }

  /**
   * Computes the mean over the reports of the members with a fresh load. A
   * member whose backend server made no such calls counts as a cost of 0, so
   * that errors of single members cancel out.
   */
  #computeDownstreamRoom(
    service: string,
    route: string,
    nowMs: number,
  ): Bottleneck | undefined {
    const reporting = this.#listFresh(service, nowMs)
      .filter(({ downstream }) => downstream !== undefined);
    const found = reporting.flatMap(({ downstream }) => {
      const entry = downstream!.find((other) => other.route === route);
      return entry?.bottleneck !== undefined &&
          nowMs - entry.reportedAtMs < PATH_PRESSURE_VALID_MS
        ? [entry.bottleneck]
        : [];
    });
    if (found.length === 0) {
      return undefined;
    }
    const worst = found.reduce((a, b) => b.ratio < a.ratio ? b : a);
    const same = found.filter((other) => other.service === worst.service);
    const costMs = found.reduce((sum, one) => sum + one.costMs, 0) /
      reporting.length;
    return {
      service: worst.service,
      ratio: same.reduce((sum, { ratio }) => sum + ratio, 0) / same.length,
      costMs: Math.max(0, costMs),
      reportedAtMs: Math.max(...same.map((one) => one.reportedAtMs)),
    };
  }

  #listFresh(service: string, nowMs: number): readonly Member[] {
    return this.list(service).filter(({ load, loadReceivedAtMs }) =>
      load !== undefined && nowMs - loadReceivedAtMs < LOAD_VALID_MS
    );
  }

  /** Whether the members of a service are known to call no other service. */
  isLeaf(service: string): boolean {
    const reports = this.#listDownstream(service);
    return reports.length > 0 &&
      reports.every((downstream) => downstream.length === 0);
  }

  /** Whether a member has reported that runs of the route make calls. */
  hasDownstreamCalls(service: string, route: string): boolean {
    return this.#listDownstream(service)
      .some((downstream) => downstream.some((entry) => entry.route === route));
  }

  /** Lists the downstream pressure of each member that has reported it. */
  #listDownstream(service: string): readonly (readonly RoutePressure[])[] {
    return this.list(service).flatMap(({ downstream }) =>
      downstream === undefined ? [] : [downstream]
    );
  }

  /** Chooses the member of a service that a call is sent to. */
  choose(
    service: string,
    options: Omit<ChoiceOptions, "getRateLimit" | "countNodes">,
  ): Member | undefined {
    return chooseMember(this.listReachable(service, options.tried), {
      ...options,
      getRateLimit: (member) => this.#findNotice(member)?.requestsPerSecond,
      countNodes: () => this.countNodes(),
    });
  }

  #has(address: string): boolean {
    return [...this.#services.values()].some((members) => members.has(address));
  }
}

/** The highest of several reported pressures. */
interface HighestReport {
  /** 0 if no member reports any. */
  readonly pressure: number;
  readonly reportedAtMs?: number;
  /** Address of the member that reported it. */
  readonly ingress?: string;
}

/** Finds the highest pressure that members report. */
function findHighestReport(
  members: readonly Member[],
  getReport: (member: Member) => PathPressure | undefined,
): HighestReport {
  let highest: HighestReport = { pressure: 0 };
  for (const member of members) {
    const report = getReport(member);
    if (report !== undefined && report.pressure > highest.pressure) {
      const { pressure, reportedAtMs } = report;
      const { ingress } = member.announcement;
      highest = { ingress, pressure, reportedAtMs };
    }
  }
  return highest;
}
