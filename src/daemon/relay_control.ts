/** The link of a relay node to control: announcements, routes and members. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type {
  ControlMessage,
  NodeMessage,
} from "../engine/link/common/link_messages.ts";
import type { CrashKnowledge } from "../engine/quarantine/common/crash_knowledge.ts";
import { LinkClient } from "../engine/link/node/link_client.ts";
import { renewIncarnation } from "../engine/membership/common/announcement.ts";
import type { Announcement } from "../engine/membership/common/announcement.ts";
import type { MemberTable } from "../engine/relay/common/member_table.ts";
import type { RelayLog } from "../engine/relay/common/relay_log.ts";
import type { RouteTable } from "../engine/routes/common/route_table.ts";
import type { QuotaGate } from "../engine/workspaces/common/quota_gate.ts";
import type { KeyAccess } from "../engine/workspaces/common/key_access.ts";
import { RelayRoutesLog } from "./relay_routes_log.ts";
import type { ReceivedRoutes } from "./relay_routes_log.ts";
import type { RelaySettings } from "./relay_settings.ts";

/** Options of the control link of a relay node. */
export interface RelayControlOptions {
  readonly settings: RelaySettings;
  /** Updated with the members that control reports. */
  readonly members: MemberTable;
  readonly log: RelayLog;
  readonly access: KeyAccess;
  readonly quotas: QuotaGate;
  /** What this node knows of requests that end backend servers. */
  readonly crashes: CrashKnowledge;
  /**
   * Called after a proof of the routes or new workspace shares were received.
   */
  readonly onAccessUpdated: () => void;
  /**
   * Called with the process instance of the backend server that left last, as
   * control holds it.
   */
  readonly onDeparture: (instance: string) => void;
  /** Called when newer routes have come into force. */
  readonly onRoutes: (routes: RouteTable) => void;
  /** Counts a version of the routes that was put in force. */
  readonly countRoutesVersion: () => void;
}

/**
 * Latency objective of a route that is not in force here; between those of
 * short and of long routes.
 */
const DEFAULT_OBJECTIVE_MS = 300;
/**
 * Time after the start during which routes that no quorum confirmed are
 * ignored.
 */
const UNCONFIRMED_ROUTES_WAIT_MS = 4_000;
/** Shortest time from any proof request to one outside the heartbeats. */
const MIN_PROOF_REQUEST_INTERVAL_MS = 100;

/** Owns the link to control, the announcement and the routes in force. */
export class RelayControl implements AsyncDisposable {
  readonly #options: RelayControlOptions;
  readonly #link: LinkClient<ControlMessage, NodeMessage>;
  readonly #routesLog: RelayRoutesLog;
  readonly #startedAtMs = readSteadyMs();
  readonly #subscribedServices = new Set<string>();
  #routes: RouteTable | undefined;
  #objectives: ReadonlyMap<string, number> = new Map();
  #linkNumber = 0;
  #proofRequestedAtMs = 0;
  #announcement: Announcement;

  constructor(options: RelayControlOptions) {
    this.#options = options;
    const { log, countRoutesVersion: countVersion } = options;
    this.#routesLog = new RelayRoutesLog({
      log,
      countVersion,
      readClock: readSteadyMs,
    });
    this.#announcement = createAnnouncement(options.settings);
    this.#link = this.#createLink();
  }

  /** The announcement that this node last sent. */
  get announcement(): Announcement {
    return this.#announcement;
  }

  /** Version of the routes in force; 0 before the first. */
  get routesVersion(): number {
    return this.#routes?.version ?? 0;
  }

  /**
   * Time since a replica proved that the routes in force are the newest, in
   * milliseconds; since the start of this node if none has.
   */
  get routesAgeMs(): number {
    return this.#routesLog.ageMs;
  }

  /** Whether any routes are in force. */
  get hasRoutes(): boolean {
    return this.#routes !== undefined;
  }

  /** Path of a service's health check; undefined if the routes don't name it. */
  getHealthPath(service: string): string | undefined {
    return this.#routes?.healthChecks
      ?.find((check) => check.service === service)?.path;
  }

  /**
   * Returns the latency within which an answer of the route has full value, in
   * ms.
   */
  getObjectiveMs(route: string): number {
    return this.#objectives.get(route) ?? DEFAULT_OBJECTIVE_MS;
  }

  /** Starts to connect to a control replica. */
  open(): void {
    this.#link.open();
  }

  /** Adds control replicas that the reloaded settings name. */
  addSeeds(seeds: readonly string[]): void {
    this.#link.addReplicas(seeds);
  }

  /**
   * Requests a proof that the routes in force are the newest, without waiting
   * for the next heartbeat. Has no effect if a proof was requested less than
   * `MIN_PROOF_REQUEST_INTERVAL_MS` ago.
   */
  requestProof(): void {
    if (
      readSteadyMs() - this.#proofRequestedAtMs >= MIN_PROOF_REQUEST_INTERVAL_MS
    ) {
      this.#link.send({ ...this.#createHeartbeat(), isUrgent: true });
    }
  }

  /** Reports evidence against requests, without waiting for a heartbeat. */
  reportCrashes(): void {
    this.#link.send(this.#createHeartbeat());
  }

  /** Reports the usage of the workspaces at this node to control. */
  reportUsage(): void {
    if (this.#routes?.workspaces === undefined) {
      return;
    }
    const usages = this.#options.quotas.createReport();
    if (usages.length > 0) {
      this.#link.send({ type: "UsageReport", usages });
    }
  }

  /**
   * Announces a change of this node; leaves its service first if that changes.
   */
  announce(change: Partial<Announcement>): void {
    const { service } = this.#announcement;
    if (change.service !== undefined && change.service !== service) {
      this.leave();
    }
    this.#announce({ ...this.#announcement, ...change });
  }

  /** Notifies control that this node no longer serves. */
  leave(): void {
    this.#link.send({ type: "Leave" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#link[Symbol.asyncDispose]();
  }

  #createLink(): LinkClient<ControlMessage, NodeMessage> {
    const { id, replicas, linkPace } = this.#options.settings;
    return new LinkClient<ControlMessage, NodeMessage>({
      id,
      replicas,
      pace: linkPace,
      onMessage: (message, replica) => this.#receive(message, replica),
      onOpen: (replica, linkNumber) => {
        this.#options.log.write({
          event: "ControlLinked",
          isFailure: false,
          replica,
          ...this.#routesLog.createFields(),
        });
        this.#linkNumber = linkNumber;
        this.#announce(this.#announcement);
        this.#link.send(this.#createHeartbeat());
        this.#subscribedServices.clear();
        this.#subscribe();
      },
      onClose: (replica) =>
        this.#options.log.write({
          event: "ControlLost",
          isFailure: true,
          replica,
          ...this.#routesLog.createFields(),
        }),
      readConfirmed: (message) =>
        "isConfirmed" in message ? message.isConfirmed : undefined,
      createHeartbeat: () => this.#createHeartbeat(),
    });
  }

  /**
   * Creates a heartbeat. If the routes require keys, it includes a proof
   * request and records its time, so each heartbeat created must be sent.
   */
  #createHeartbeat(): Extract<NodeMessage, { type: "Heartbeat" }> {
    const routesVersion = this.#routes?.version ?? 0;
    const crashes = this.#options.crashes.createReports();
    const heartbeat = {
      type: "Heartbeat",
      tableVersion: 0,
      routesVersion,
      ...(crashes.length === 0 ? {} : { crashes }),
    } as const;
    if (this.#routes?.workspaces === undefined) {
      return heartbeat;
    }
    this.#proofRequestedAtMs = readSteadyMs();
    return { ...heartbeat, proof: this.#options.access.requestProof() };
  }

  #announce(announcement: Announcement): void {
    const sequence = this.#announcement.sequence + 1;
    this.#announcement = { ...announcement, sequence };
    this.#link.send({
      type: "Announce",
      announcement: this.#announcement,
      linkNumber: this.#linkNumber,
      tableVersion: 0,
      routesVersion: this.#routes?.version ?? 0,
    });
  }

  #receive(message: ControlMessage, replica: string): void {
    switch (message.type) {
      case "RoutesUpdate":
        this.#receiveRoutes({ ...message, replica });
        return;
      case "RoutesProved":
        this.#receiveProof(message.number, message.routesVersion);
        return;
      case "SharesUpdate":
        this.#options.quotas.replaceShares(message.shares, message.nodes);
        this.#options.onAccessUpdated();
        return;
      case "MemberList":
        if (message.isComplete) {
          this.#options.members.markComplete(message.service);
        }
        if (
          message.isComplete || !this.#options.members.isKnown(message.service)
        ) {
          this.#options.members.replace(message.service, message.members);
        } else {
          message.members.forEach((member) =>
            this.#options.members.put(member)
          );
        }
        this.#receiveOwn(message.members);
        return;
      case "CrashUpdate":
        this.#options.crashes.receive(message.report, "control");
        return;
      case "MemberUpdate":
        this.#options.members.put(message.announcement);
        this.#receiveOwn([message.announcement]);
        return;
      case "MemberLoss":
        this.#options.members.remove(message.service, message.nodeId);
        return;
      case "HeartbeatAnswer":
        if (message.isConfirmed && message.routesVersion !== undefined) {
          this.#routesLog.recordProof(message.routesVersion);
        }
        if (message.replicas !== undefined) {
          this.#link.receiveReplicas(message.replicas, message.isConfirmed);
        }
        return;
      case "TableUpdate":
      case "TableChange":
      case "HolderSetUpdate":
      case "DrainOrder":
        return;
    }
  }

  /** Ignores a proof of routes that are newer than those received here. */
  #receiveProof(number: number, routesVersion: number): void {
    this.#routesLog.recordProof(routesVersion);
    if (this.routesVersion >= routesVersion) {
      this.#options.access.acceptProof(number);
      this.#options.onAccessUpdated();
    }
  }

  /** Receives what control holds of this node, maybe from before its start. */
  #receiveOwn(received: readonly Announcement[]): void {
    this.#renewIncarnation(received);
    received
      .filter(({ nodeId }) => nodeId === this.#announcement.nodeId)
      .forEach(({ departedInstance }) => {
        if (departedInstance !== undefined) {
          this.#options.onDeparture(departedInstance);
        }
      });
  }

  #renewIncarnation(received: readonly Announcement[]): void {
    const incarnation = renewIncarnation(this.#announcement, received);
    if (incarnation !== undefined) {
      this.#options.log.write({
        event: "IncarnationRenewed",
        isFailure: false,
        before: this.#announcement.incarnation,
        incarnation,
      });
      this.#announce({ ...this.#announcement, incarnation });
    }
  }

  /**
   * Puts newer routes in force. The first ones must be confirmed, unless the
   * wait for a confirmation is over; a node never returns to older routes.
   */
  #receiveRoutes(received: ReceivedRoutes): void {
    const { routes, isConfirmed } = received;
    const isTrusted = isConfirmed || this.#routes !== undefined ||
      readSteadyMs() - this.#startedAtMs > UNCONFIRMED_ROUTES_WAIT_MS;
    const isNewer = routes.version > (this.#routes?.version ?? 0);
    if (!isTrusted || !isNewer) {
      this.#routesLog.recordIgnored(received);
      return;
    }
    this.#routesLog.recordInForce(received);
    this.#routes = routes;
    this.#objectives = new Map(
      routes.routes.map(({ name, objectiveMs }) => [name, objectiveMs]),
    );
    this.#options.access.replaceWorkspaces(routes.workspaces ?? []);
    this.#options.onRoutes(routes);
    this.#subscribe();
    if (routes.workspaces !== undefined) {
      this.requestProof();
    }
  }

  /**
   * Subscribes to the members of the services that the routes have as targets.
   */
  #subscribe(): void {
    for (const { targets } of this.#routes?.routes ?? []) {
      for (const { service } of targets) {
        if (!this.#subscribedServices.has(service) && this.#link.isOpen) {
          this.#subscribedServices.add(service);
          const wantsCrashes = true;
          this.#link.send({ type: "Subscribe", service, wantsCrashes });
        }
      }
    }
  }
}

function createAnnouncement(settings: RelaySettings): Announcement {
  return {
    nodeId: settings.id,
    incarnation: Date.now(),
    sequence: 0,
    service: settings.service,
    dataCentre: settings.dataCentre,
    region: settings.region,
    vm: settings.vm,
    ingress: settings.mesh,
    operator: settings.operator,
    slots: 1,
    connections: 1_024,
    // The node accepts no work until the backend server has announced itself.
    isDraining: true,
  };
}
