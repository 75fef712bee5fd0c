/**
 * A node whose calls go over framed links: callers on its VM, the gate of its
 * backend server, and its link to control.
 */
import { DisposalStack } from "../base/common/disposal.ts";
import { parseAddress } from "../base/node/listen.ts";
import { readSteadyMs } from "../base/node/steady_clock.ts";
import {
  CallerSpread,
  SpreadCounter,
} from "../engine/admission/common/caller_spread.ts";
import { CallTree } from "../engine/admission/common/call_tree.ts";
import { CoincidenceCounter } from "../engine/admission/common/coincidence.ts";
import type {
  CallerReport,
  LoadReported,
  PressureBelow,
} from "../engine/mesh/common/frames.ts";
import { MeshClient } from "../engine/mesh/node/mesh_client.ts";
import { MeshServer } from "../engine/mesh/node/mesh_server.ts";
import type { CallDialect } from "../engine/relay/common/dialect.ts";
import { isSameLife } from "../engine/relay/common/gate.ts";
import type { LocalBackend } from "../engine/relay/common/gate.ts";
import { MemberTable } from "../engine/relay/common/member_table.ts";
import { CallerServer } from "../engine/relay/node/caller_server.ts";
import { EntryCalls } from "../engine/relay/node/entry_calls.ts";
import { GateCalls } from "../engine/relay/node/gate_calls.ts";
import type { OperatorServer } from "./operator_server.ts";
import { RelayControl } from "./relay_control.ts";
import { createRelayOperator } from "./relay_operator.ts";
import type { RelayStatus } from "./relay_operator.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { Telemetry } from "./telemetry.ts";
import { LineLog } from "./line_log.ts";

/** Entry and gate tick: expiry is late by at most this much. */
const TICK_MS = 20;
/**
 * How often the load is said on links in use: how old it may be where calls are
 * spread, and how soon a silent node is known.
 */
const REPORT_MS = 100;
/** How often nodes say where calls came from: some ten calls are enough. */
const CALLERS_MS = 500;
/** Ticks between notes of the own load, as often as others report theirs. */
const OWN_LOAD_TICKS = REPORT_MS / TICK_MS;
/** Ticks between looks for idle links. */
const IDLE_TICKS = 500;
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
  readonly #coincidences = new CoincidenceCounter();
  readonly #spread = new CallerSpread();
  readonly #arrivals = new SpreadCounter();
  readonly #tree: CallTree;
  #lastRank = 0;
  readonly #gate: GateCalls;
  readonly #entry: EntryCalls;
  readonly #callers: CallerServer;
  readonly #meshClient: MeshClient;
  readonly #meshServer: MeshServer;
  readonly #control: RelayControl;
  readonly #operator: OperatorServer;
  readonly #log: LineLog;
  #isStopping = false;
  #callersSaidAtMs = 0;
  #hadPressure = false;
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
    const { metrics } = this.#telemetry;
    this.#log = new LineLog(
      this.#telemetry.log,
      (event, outcome) => metrics.countDecision(event, outcome),
    );
    const readClock = readSteadyMs;
    const log = this.#log;
    this.#gate = this.#owned.use(
      new GateCalls({
        dialect,
        readClock,
        log,
        maxConnections: () => this.#control.announcement.connections,
        getObjectiveMs: (route) => this.#control.getObjectiveMs(route),
        noteRun: (route, change) =>
          this.#coincidences.noteRun(route, change, readSteadyMs()),
        noteArrival: (route, service) =>
          this.#arrivals.note(route, service, readSteadyMs()),
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
        getService: () => this.#control.announcement.service,
      }),
    );
    this.#tree = new CallTree({
      coincidences: this.#coincidences,
      spread: this.#spread,
      getService: () => this.#control.announcement.service,
      countNodes: () => this.#members.countByService(),
    });
    this.#entry = new EntryCalls({
      dataCentre,
      members: this.#members,
      budget,
      path: this.#createPath(),
      readClock,
      draw: Math.random,
      getLastRank: () => this.#lastRank,
      log,
      hearCallers: (address, report) =>
        this.#spread.hear(address, report, readSteadyMs()),
      noteEnded: (route, elapsedMs) => metrics.noteDuration(route, elapsedMs),
    });
    this.#meshServer = this.#owned.use(this.#createMeshServer());
    this.#callers = this.#owned.use(
      new CallerServer({
        address: parseAddress(settings.callers)!,
        dialect,
        startCall: (request, service, onResult) =>
          this.#entry.start(request, service, onResult),
        observeCall: (call) => this.#tree.observe(call, readSteadyMs()),
        getCallerService: () => this.#control.announcement.service,
        readClock,
        draw: Math.random,
        log,
      }),
    );
    this.#control = this.#owned.use(
      new RelayControl({
        settings,
        members: this.#members,
        log,
        onRoutes: (routes) => {
          this.#lastRank = Math.max(
            0,
            ...routes.routes.map(({ rank }) => rank),
          );
          this.#callers.replaceRoutes(routes);
        },
      }),
    );
    this.#operator = this.#owned.use(
      createRelayOperator(
        settings,
        this.#telemetry,
        () => this.#createStatus(),
      ),
    );
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.#control.hasRoutes && !this.#isStopping;
  }

  /** The backend server as last announced. */
  get backend(): LocalBackend | undefined {
    return this.#gate.backend;
  }

  /** Opens the listeners and starts to announce. */
  async open(): Promise<void> {
    await this.#meshServer.open();
    await this.#callers.open();
    await this.#operator.open();
    this.#control.open();
    this.#introduce();
    const tick = setInterval(() => this.#tick(), TICK_MS);
    this.#owned.defer(() => clearInterval(tick));
    this.#telemetry.record({ type: "ProcessStarted", role: "node" });
  }

  /** Adds control replicas that the settings name now. */
  learnSeeds(seeds: readonly string[]): void {
    this.#log.write({ event: "SettingsRead", isFailure: false, seeds });
    this.#control.learnSeeds(seeds);
  }

  /** Says that changed settings can't be used; the former ones hold. */
  reportSettings(reason: string): void {
    this.#log.write({ event: "SettingsInvalid", isFailure: true, reason });
  }

  /** Says that an announcement counts for nothing; the former ones hold. */
  reportAnnouncement(instanceId: string, reason: string): void {
    const event = "AnnouncementRefused";
    this.#log.write({ event, isFailure: true, instanceId, reason });
  }

  /** Whether a route in force leads to a service. */
  isRouted(service: string): boolean {
    return this.#control.isRouted(service);
  }

  /** Takes what the backend server says of itself. */
  changeBackend(backend: LocalBackend | undefined): void {
    const before = this.#gate.backend;
    this.#gate.changeBackend(backend);
    const current = this.#control.announcement;
    const service = backend?.service ?? current.service;
    const isDraining = this.#isStopping || backend === undefined ||
      backend.isDraining;
    const slots = backend?.slots ?? current.slots;
    const isSame = service === current.service && slots === current.slots &&
      isDraining === current.isDraining &&
      isSameLife(before, backend);
    if (isSame) {
      return;
    }
    this.#log.write({
      event: "BackendChanged",
      isFailure: false,
      instanceId: backend?.instanceId,
      startedAtMs: backend?.startedAtMs,
      service,
      slots,
      isDraining,
    });
    this.#control.announce({ service, slots, isDraining });
    if (service !== current.service) {
      this.#introduce();
    }
  }

  /** Finishes what is in progress; others are told to go elsewhere. */
  async drain(): Promise<void> {
    this.#isStopping = true;
    this.#telemetry.record({ type: "DrainStarted" });
    const startedAtMs = readSteadyMs();
    const endMs = startedAtMs + this.#settings.drainMs;
    this.#control.announce({ isDraining: true });
    this.#callers.drain();
    await waitUntil(() => readSteadyMs() >= startedAtMs + SPREAD_MS);
    this.#callers.close();
    await waitUntil(() => this.#isIdle() || readSteadyMs() >= endMs);
    this.#control.leave();
    this.#telemetry.record({ type: "DrainEnded" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#owned[Symbol.asyncDispose]();
  }

  #createStatus(): RelayStatus {
    return {
      isReady: this.isReady,
      isDraining: this.#isStopping,
      routesVersion: this.#control.routesVersion,
      backend: this.#gate.backend,
      load: this.#gate.readLoad(),
      openCalls: this.#entry.openCount,
      members: this.#members.countNodes(),
    };
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
    const nowMs = readSteadyMs();
    this.#entry.receive(mesh, this.#createReport([], this.#listBelow()));
    this.#spread.hear(mesh, this.#arrivals.createReport(nowMs), nowMs);
  }

  /** Calls on all links, and those to the own gate, begin at this service. */
  #introduce(): void {
    const { service } = this.#control.announcement;
    this.#meshClient.introduce();
    this.#gate.receive(LOCAL, { type: "CallerIntroduced", service }, () => {});
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
      onFrame: (link, frame, delayMs) =>
        this.#gate.receive(
          String(link),
          frame,
          (answer) => this.#meshServer.send(link, answer),
          delayMs,
        ),
      onClosed: (link) => this.#gate.loseSource(String(link)),
      hasCalls: (link) => this.#gate.hasCalls(String(link)),
      reportMs: REPORT_MS,
      createReport: () => this.#createNews(),
      readClock: readSteadyMs,
    });
  }

  #createReport(
    callers: CallerReport,
    below: LoadReported["below"],
  ): LoadReported {
    const load = this.#gate.readLoad();
    return { type: "LoadReported", load, below, callers };
  }

  /**
   * What other nodes don't know yet. Without pressure the answers on a link say
   * enough; a report of the call tree alone would wake both ends of each link
   * ten times a second.
   */
  #createNews(): LoadReported {
    const callers = this.#takeCallers();
    const below = this.#listBelow();
    const hasPressure = below.some(([, pressure]) => pressure > 0);
    const isNews = hasPressure || this.#hadPressure || callers.length > 0;
    this.#hadPressure = hasPressure;
    return this.#createReport(callers, isNews ? below : undefined);
  }

  /** Pressure below each route whose requests make calls here. */
  #listBelow(): readonly PressureBelow[] {
    const nowMs = readSteadyMs();
    return this.#tree.listEdges(nowMs).map(([parent, callees]) => {
      const ways = callees.map(({ service, route }) =>
        this.#members.computeWayPressure(service, route, nowMs)
      );
      const worst = ways.reduce((a, b) => b.pressure > a.pressure ? b : a);
      const { pressure, saidAtMs } = worst;
      return [
        parent,
        Math.round(pressure * 1_000) / 1_000,
        pressure === 0 ? 0 : Math.round(nowMs - saidAtMs),
      ] as const;
    });
  }

  /** Says where calls came from, more seldom than the load. */
  #takeCallers(): CallerReport {
    const nowMs = readSteadyMs();
    if (nowMs - this.#callersSaidAtMs < CALLERS_MS) {
      return [];
    }
    this.#callersSaidAtMs = nowMs;
    return this.#arrivals.createReport(nowMs);
  }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
