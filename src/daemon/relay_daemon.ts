/**
 * A node whose calls go over framed links: callers on its VM, the gate of its
 * backend server, and its link to control.
 */
import { DisposalStack } from "../base/common/disposal.ts";
import { parseAddress } from "../base/node/listen.ts";
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type {
  ControlMessage,
  NodeMessage,
} from "../engine/link/common/link_messages.ts";
import type { LinkPace } from "../engine/link/common/link_reducer.ts";
import { LinkClient } from "../engine/link/node/link_client.ts";
import { renewIncarnation } from "../engine/membership/common/announcement.ts";
import type { Announcement } from "../engine/membership/common/announcement.ts";
import { MeshClient } from "../engine/mesh/node/mesh_client.ts";
import { MeshServer } from "../engine/mesh/node/mesh_server.ts";
import { CallGraph } from "../engine/relay/common/call_graph.ts";
import type { CallDialect } from "../engine/relay/common/dialect.ts";
import type { BudgetTerms } from "../engine/relay/common/entry_budget.ts";
import type { LocalBackend } from "../engine/relay/common/gate.ts";
import { MemberTable } from "../engine/relay/common/member_table.ts";
import { CallerServer } from "../engine/relay/node/caller_server.ts";
import { EntryCalls } from "../engine/relay/node/entry_calls.ts";
import { GateCalls } from "../engine/relay/node/gate_calls.ts";
import type { RouteTable } from "../engine/routes/common/route_table.ts";
import { Telemetry } from "./telemetry.ts";
import { LineLog } from "./line_log.ts";

/** What a relay daemon is built from. */
export interface RelaySettings {
  readonly id: string;
  readonly vm: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Service of the backend server until that announces itself. */
  readonly service: string;
  /** `host:port` for callers on this VM. */
  readonly callers: string;
  /** `host:port` for other nodes; also the address that they are told. */
  readonly mesh: string;
  /** Link addresses of control replicas. */
  readonly replicas: readonly string[];
  readonly linkPace: LinkPace;
  readonly budget: BudgetTerms;
  /** A drain ends by then, whatever is in progress. */
  readonly drainMs: number;
}

/** Entry and gate tick: expiry is late by at most this much. */
const TICK_MS = 20;
/** Ticks between notes of the own load, as often as others report theirs. */
const OWN_LOAD_TICKS = 5;
/** Ticks between looks for idle links. */
const IDLE_TICKS = 500;
/** How long routes that no quorum vouches for are kept aside at the start. */
const UNCONFIRMED_MS = 4_000;
/** How long a drain goes on taking work: callers look each second, twice. */
const SPREAD_MS = 2_500;
const POLL_MS = 20;
/** Source of the calls that this node sends to its own gate. */
const LOCAL = "local";

/** A running node. */
export class RelayDaemon implements AsyncDisposable {
  readonly #settings: RelaySettings;
  readonly #owned = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #members = new MemberTable();
  readonly #graph = new CallGraph();
  #lastRank = 0;
  readonly #gate: GateCalls;
  readonly #entry: EntryCalls;
  readonly #callers: CallerServer;
  readonly #meshClient: MeshClient;
  readonly #meshServer: MeshServer;
  readonly #link: LinkClient<ControlMessage, NodeMessage>;
  readonly #log: LineLog;
  readonly #startedAtMs = readSteadyMs();
  readonly #subscribed = new Set<string>();
  #routes: RouteTable | undefined;
  #linkNumber = 0;
  #announcement: Announcement;
  #isStopping = false;
  #ticks = 0;

  constructor(settings: RelaySettings, dialect: CallDialect) {
    this.#settings = settings;
    const { id, dataCentre, budget } = settings;
    this.#telemetry = this.#owned.use(
      new Telemetry({
        id,
        role: "node",
        data_centre: dataCentre,
        log: { level: "info" },
      }),
    );
    this.#log = new LineLog(this.#telemetry.log);
    this.#announcement = createAnnouncement(settings);
    const readClock = readSteadyMs;
    const log = this.#log;
    this.#gate = this.#owned.use(
      new GateCalls({
        dialect,
        readClock,
        log,
        maxConnections: () => this.#announcement.connections,
        onBackendLost: () => this.#loseBackend(),
      }),
    );
    this.#meshClient = this.#owned.use(
      new MeshClient({
        onFrame: (address, frame) => this.#entry.receive(address, frame),
        onLost: (address, reason, wasOpen) => {
          log.write({ event: "LinkLost", isFailure: true, address, reason });
          this.#entry.loseLink(address, reason, wasOpen);
        },
        readClock,
      }),
    );
    this.#entry = new EntryCalls({
      dataCentre,
      members: this.#members,
      budget,
      path: this.#createPath(),
      readClock,
      draw: Math.random,
      getLastRank: () => this.#lastRank,
      log,
    });
    this.#meshServer = this.#owned.use(this.#createMeshServer());
    this.#callers = this.#owned.use(
      new CallerServer({
        address: parseAddress(settings.callers)!,
        dialect,
        startCall: (request, service, onResult) =>
          this.#entry.start(request, service, onResult),
        observeCall: (call) =>
          this.#graph.observe(call, this.#gate.listRunning(), readSteadyMs()),
        getCallerService: () => this.#announcement.service,
        readClock,
        draw: Math.random,
        log,
      }),
    );
    this.#link = this.#owned.use(this.#createLink());
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.#routes !== undefined && !this.#isStopping;
  }

  /** The backend server as last announced. */
  get backend(): LocalBackend | undefined {
    return this.#gate.backend;
  }

  /** Opens the listeners and starts to announce. */
  async open(): Promise<void> {
    await this.#meshServer.open();
    await this.#callers.open();
    this.#link.open();
    const tick = setInterval(() => this.#tick(), TICK_MS);
    this.#owned.defer(() => clearInterval(tick));
    this.#telemetry.record({ type: "ProcessStarted", role: "node" });
  }

  /** Adds control replicas that the settings name now. */
  learnSeeds(seeds: readonly string[]): void {
    this.#log.write({ event: "SettingsRead", isFailure: false, seeds });
    this.#link.addReplicas(seeds);
  }

  /** Says that changed settings can't be used; the former ones hold. */
  reportSettings(reason: string): void {
    this.#log.write({ event: "SettingsInvalid", isFailure: true, reason });
  }

  /** Takes what the backend server says of itself. */
  changeBackend(backend: LocalBackend | undefined): void {
    const before = this.#gate.backend;
    this.#gate.changeBackend(backend);
    const service = backend?.service ?? this.#announcement.service;
    const isDraining = this.#isStopping || backend === undefined ||
      backend.isDraining;
    const slots = backend?.slots ?? this.#announcement.slots;
    const current = this.#announcement;
    const isSame = service === current.service && slots === current.slots &&
      isDraining === current.isDraining &&
      before?.instanceId === backend?.instanceId;
    if (isSame) {
      return;
    }
    this.#log.write({
      event: "BackendChanged",
      isFailure: false,
      instanceId: backend?.instanceId,
      service,
      slots,
      isDraining,
    });
    if (service !== current.service) {
      this.#link.send({ type: "Leave" });
    }
    this.#announce({ ...current, service, slots, isDraining });
  }

  /** Finishes what is in progress; others are told to go elsewhere. */
  async drain(): Promise<void> {
    this.#isStopping = true;
    this.#telemetry.record({ type: "DrainStarted" });
    const startedAtMs = readSteadyMs();
    const endMs = startedAtMs + this.#settings.drainMs;
    this.#announce({ ...this.#announcement, isDraining: true });
    this.#callers.drain();
    await waitUntil(() => readSteadyMs() >= startedAtMs + SPREAD_MS);
    this.#callers.close();
    await waitUntil(() => this.#isIdle() || readSteadyMs() >= endMs);
    this.#link.send({ type: "Leave" });
    this.#telemetry.record({ type: "DrainEnded" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#owned[Symbol.asyncDispose]();
  }

  #isIdle(): boolean {
    return this.#gate.openCount === 0 && this.#callers.openCount === 0;
  }

  #tick(): void {
    this.#ticks += 1;
    this.#entry.tick();
    this.#gate.tick();
    if (this.#ticks % OWN_LOAD_TICKS === 0) {
      this.#noteOwnLoad();
    }
    if (this.#ticks % IDLE_TICKS === 0) {
      this.#meshClient.closeIdle();
    }
  }

  /** The own gate is a member like the others, but no link reports it. */
  #noteOwnLoad(): void {
    const { mesh } = this.#settings;
    this.#members.noteLoad(mesh, this.#gate.readLoad(), readSteadyMs());
    this.#members.noteBelow(mesh, this.#readBelow());
  }

  /** The backend server took no connection: no calls until it is heard. */
  #loseBackend(): void {
    this.changeBackend(undefined);
  }

  /** Calls for the own backend server skip the socket. */
  #createPath() {
    const own = this.#settings.mesh;
    return {
      send: (address: string, frame: Parameters<MeshClient["send"]>[1]) => {
        if (address === own) {
          this.#gate.receive(
            LOCAL,
            frame,
            (answer) => this.#entry.receive(own, answer),
          );
        } else {
          this.#meshClient.send(address, frame);
        }
      },
      isOpen: (address: string) =>
        address === own || this.#meshClient.isOpen(address),
      getHeardAtMs: (address: string) =>
        address === own ? undefined : this.#meshClient.getHeardAtMs(address),
      probe: (address: string) => {
        if (address !== own) {
          this.#meshClient.open(address);
        }
      },
      drop: (address: string, reason: string) =>
        this.#meshClient.drop(address, reason),
    };
  }

  #createMeshServer(): MeshServer {
    return new MeshServer({
      address: parseAddress(this.#settings.mesh)!,
      onFrame: (link, frame) =>
        this.#gate.receive(
          String(link),
          frame,
          (answer) => this.#meshServer.send(link, answer),
        ),
      onClosed: (link) => this.#gate.loseSource(String(link)),
      hasCalls: (link) => this.#gate.hasCalls(String(link)),
      createReport: () => ({
        type: "LoadReported",
        load: this.#gate.readLoad(),
        below: this.#readBelow(),
      }),
    });
  }

  /** Pressure below each route whose requests make calls here. */
  #readBelow(): readonly (readonly [string, number])[] {
    const nowMs = readSteadyMs();
    return this.#graph.listEdges(nowMs).map(([parent, callees]) => {
      const pressures = callees.map(({ service, route }) =>
        this.#members.computeWayPressure(service, route, nowMs)
      );
      return [parent, Math.max(...pressures)] as const;
    });
  }

  #createLink(): LinkClient<ControlMessage, NodeMessage> {
    const { id, replicas, linkPace } = this.#settings;
    return new LinkClient<ControlMessage, NodeMessage>({
      id,
      replicas,
      pace: linkPace,
      onMessage: (message) => this.#receive(message),
      onOpen: (replica, linkNumber) => {
        this.#log.write({ event: "ControlLinked", isFailure: false, replica });
        this.#linkNumber = linkNumber;
        this.#announce(this.#announcement);
        this.#subscribed.clear();
        this.#subscribe();
      },
      onClose: (replica) =>
        this.#log.write({ event: "ControlLost", isFailure: true, replica }),
      readConfirmed: (message) =>
        "isConfirmed" in message ? message.isConfirmed : undefined,
      createHeartbeat: () => ({
        type: "Heartbeat",
        tableVersion: 0,
        routesVersion: this.#routes?.version ?? 0,
      }),
    });
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
      case "MemberList":
        if (message.isComplete || !this.#members.isKnown(message.service)) {
          this.#members.replace(message.service, message.members);
        } else {
          message.members.forEach((member) => this.#members.put(member));
        }
        this.#renewIncarnation(message.members);
        return;
      case "MemberUpdate":
        this.#members.put(message.announcement);
        this.#renewIncarnation([message.announcement]);
        return;
      case "MemberLoss":
        this.#members.remove(message.service, message.nodeId);
        return;
      case "HeartbeatAnswer":
        if (message.replicas !== undefined) {
          this.#link.learnReplicas(message.replicas);
        }
        return;
      case "TableUpdate":
      case "TableChange":
      case "HolderSetUpdate":
      case "DrainOrder":
        return;
    }
  }

  #renewIncarnation(heard: readonly Announcement[]): void {
    const incarnation = renewIncarnation(this.#announcement, heard);
    if (incarnation !== undefined) {
      this.#log.write({
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
    this.#log.write({
      event: "RoutesInForce",
      isFailure: false,
      version: routes.version,
      before: this.#routes?.version,
      isConfirmed,
    });
    this.#routes = routes;
    this.#lastRank = Math.max(0, ...routes.routes.map(({ rank }) => rank));
    this.#callers.replaceRoutes(routes);
    this.#subscribe();
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
    operator: settings.mesh,
    slots: 1,
    connections: 1_024,
    // No work before the backend server has announced itself.
    isDraining: true,
  };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
