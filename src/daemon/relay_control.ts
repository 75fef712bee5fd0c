/** What a relay node says to control, and takes from it. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type {
  ControlMessage,
  NodeMessage,
} from "../engine/link/common/link_messages.ts";
import { LinkClient } from "../engine/link/node/link_client.ts";
import { renewIncarnation } from "../engine/membership/common/announcement.ts";
import type { Announcement } from "../engine/membership/common/announcement.ts";
import type { MemberTable } from "../engine/relay/common/member_table.ts";
import type { RelayLog } from "../engine/relay/common/relay_log.ts";
import type { RouteTable } from "../engine/routes/common/route_table.ts";
import type { QuotaGate } from "../engine/workspaces/common/quota_gate.ts";
import type { KeyAccess } from "../engine/workspaces/common/key_access.ts";
import type { RelaySettings } from "./relay_settings.ts";

/** What the control side of a relay is built from. */
export interface RelayControlOptions {
  readonly settings: RelaySettings;
  /** Filled with the members that control tells. */
  readonly members: MemberTable;
  readonly log: RelayLog;
  readonly access: KeyAccess;
  readonly quotas: QuotaGate;
  /** Control has proved the routes, or told the shares of workspaces. */
  readonly onTold: () => void;
  /** Newer routes are in force. */
  readonly onRoutes: (routes: RouteTable) => void;
}

/** Objective of a route that is not in force here; between short and long. */
const DEFAULT_OBJECTIVE_MS = 300;
/** How long routes that no quorum vouches for are kept aside at the start. */
const UNCONFIRMED_MS = 4_000;
/** Least time between questions for a proof, beside those of heartbeats. */
const ASK_EVERY_MS = 100;

/** Holds the link to control, the announcement, and the routes in force. */
export class RelayControl implements AsyncDisposable {
  readonly #options: RelayControlOptions;
  readonly #link: LinkClient<ControlMessage, NodeMessage>;
  readonly #startedAtMs = readSteadyMs();
  readonly #subscribed = new Set<string>();
  #routes: RouteTable | undefined;
  #objectives: ReadonlyMap<string, number> = new Map();
  #linkNumber = 0;
  #askedAtMs = 0;
  #announcement: Announcement;

  constructor(options: RelayControlOptions) {
    this.#options = options;
    this.#announcement = createAnnouncement(options.settings);
    this.#link = this.#createLink();
  }

  /** What this node last said of itself. */
  get announcement(): Announcement {
    return this.#announcement;
  }

  /** Version of the routes in force; 0 before the first. */
  get routesVersion(): number {
    return this.#routes?.version ?? 0;
  }

  /** Whether any routes are in force. */
  get hasRoutes(): boolean {
    return this.#routes !== undefined;
  }

  /** Whether a route in force leads to a service. */
  isRouted(service: string): boolean {
    return this.#routes?.routes.some(({ targets }) =>
      targets.some((target) => target.service === service)
    ) ?? false;
  }

  /** Latency within which an answer of a route has its full value. */
  getObjectiveMs(route: string): number {
    return this.#objectives.get(route) ?? DEFAULT_OBJECTIVE_MS;
  }

  /** Begins to look for a control replica. */
  open(): void {
    this.#link.open();
  }

  /** Adds control replicas that the settings name now. */
  learnSeeds(seeds: readonly string[]): void {
    this.#link.addReplicas(seeds);
  }

  /** Asks at once for a proof that the routes in force are the newest. */
  askProof(): void {
    if (readSteadyMs() - this.#askedAtMs >= ASK_EVERY_MS) {
      this.#link.send({ ...this.#askWithHeartbeat(), isUrgent: true });
    }
  }

  /** Tells control what workspaces asked for here. */
  reportUsage(): void {
    if (this.#routes?.workspaces === undefined) {
      return;
    }
    const usages = this.#options.quotas.createReport();
    if (usages.length > 0) {
      this.#link.send({ type: "UsageReport", usages });
    }
  }

  /** Says what has changed of this node. */
  announce(change: Partial<Announcement>): void {
    const { service } = this.#announcement;
    if (change.service !== undefined && change.service !== service) {
      this.leave();
    }
    this.#announce({ ...this.#announcement, ...change });
  }

  /** Says that this node serves no longer. */
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
      onMessage: (message) => this.#receive(message),
      onOpen: (replica, linkNumber) => {
        this.#options.log.write({
          event: "ControlLinked",
          isFailure: false,
          replica,
        });
        this.#linkNumber = linkNumber;
        this.#announce(this.#announcement);
        this.#link.send(this.#askWithHeartbeat());
        this.#subscribed.clear();
        this.#subscribe();
      },
      onClose: (replica) =>
        this.#options.log.write({
          event: "ControlLost",
          isFailure: true,
          replica,
        }),
      readConfirmed: (message) =>
        "isConfirmed" in message ? message.isConfirmed : undefined,
      createHeartbeat: () => this.#askWithHeartbeat(),
    });
  }

  /**
   * Creates a heartbeat; where keys are needed it asks for a proof, which is
   * noted as asked for now.
   */
  #askWithHeartbeat(): Extract<NodeMessage, { type: "Heartbeat" }> {
    const routesVersion = this.#routes?.version ?? 0;
    const heartbeat = {
      type: "Heartbeat",
      tableVersion: 0,
      routesVersion,
    } as const;
    if (this.#routes?.workspaces === undefined) {
      return heartbeat;
    }
    this.#askedAtMs = readSteadyMs();
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

  #receive(message: ControlMessage): void {
    switch (message.type) {
      case "RoutesUpdate":
        this.#takeRoutes(message.routes, message.isConfirmed);
        return;
      case "RoutesProved":
        this.#takeProof(message.number, message.routesVersion);
        return;
      case "SharesUpdate":
        this.#options.quotas.replaceShares(message.shares, message.nodes);
        this.#options.onTold();
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
        this.#renewIncarnation(message.members);
        return;
      case "MemberUpdate":
        this.#options.members.put(message.announcement);
        this.#renewIncarnation([message.announcement]);
        return;
      case "MemberLoss":
        this.#options.members.remove(message.service, message.nodeId);
        return;
      case "HeartbeatAnswer":
        if (message.replicas !== undefined) {
          this.#link.updateReplicas(message.replicas);
        }
        return;
      case "TableUpdate":
      case "TableChange":
      case "HolderSetUpdate":
      case "DrainOrder":
        return;
    }
  }

  /** A proof of routes that are still on their way here proves nothing. */
  #takeProof(number: number, routesVersion: number): void {
    if (this.routesVersion >= routesVersion) {
      this.#options.access.acceptProof(number);
      this.#options.onTold();
    }
  }

  #renewIncarnation(heard: readonly Announcement[]): void {
    const incarnation = renewIncarnation(this.#announcement, heard);
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

  /** A node never goes back to older routes. */
  #takeRoutes(routes: RouteTable, isConfirmed: boolean): void {
    const isTrusted = isConfirmed || this.#routes !== undefined ||
      readSteadyMs() - this.#startedAtMs > UNCONFIRMED_MS;
    const isNewer = routes.version > (this.#routes?.version ?? 0);
    if (!isTrusted || !isNewer) {
      return;
    }
    this.#options.log.write({
      event: "RoutesInForce",
      isFailure: false,
      version: routes.version,
      before: this.#routes?.version,
      isConfirmed,
    });
    this.#routes = routes;
    this.#objectives = new Map(
      routes.routes.map(({ name, objectiveMs }) => [name, objectiveMs]),
    );
    this.#options.access.replaceWorkspaces(routes.workspaces ?? []);
    this.#options.onRoutes(routes);
    this.#subscribe();
    if (routes.workspaces !== undefined) {
      this.askProof();
    }
  }

  /** Asks for the members of the services that the routes lead to. */
  #subscribe(): void {
    for (const { targets } of this.#routes?.routes ?? []) {
      for (const { service } of targets) {
        if (!this.#subscribed.has(service) && this.#link.isOpen) {
          this.#subscribed.add(service);
          this.#link.send({ type: "Subscribe", service });
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
    // No work before the backend server has announced itself.
    isDraining: true,
  };
}
