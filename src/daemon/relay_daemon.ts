/**
 * A node whose calls go over framed links: callers on its VM, the gate of its
 * backend server, and its link to control.
 */
import { DisposalStack } from "../base/common/disposal.ts";
import { parseAddress } from "../base/node/listen.ts";
import { FirstRequests } from "../base/node/first_requests.ts";
import { LoopWatch } from "../base/node/loop_watch.ts";
import { readBothClocks, readSteadyMs } from "../base/node/steady_clock.ts";
import { MeshClient } from "../engine/mesh/node/mesh_client.ts";
import { MeshServer } from "../engine/mesh/node/mesh_server.ts";
import type { CallDialect } from "../engine/relay/common/dialect.ts";
import { isSameProcessInstance } from "../engine/relay/common/gate.ts";
import type { LocalBackend } from "../engine/relay/common/gate.ts";
import { MemberTable } from "../engine/relay/common/member_table.ts";
import { CallerServer } from "../engine/relay/node/caller_server.ts";
import { EntryCalls } from "../engine/relay/node/entry_calls.ts";
import { GateCalls } from "../engine/relay/node/gate_calls.ts";
import { computeKeyDigest } from "../engine/workspaces/node/key_digest.ts";
import { WorkspaceCheck } from "../engine/workspaces/common/workspace_check.ts";
import { QuotaGate } from "../engine/workspaces/common/quota_gate.ts";
import { USAGE_INTERVAL_MS } from "../engine/workspaces/common/usage_window.ts";
import { countRanks } from "../engine/workspaces/common/workspace.ts";
import { KeyAccess } from "../engine/workspaces/common/key_access.ts";
import type { OperatorServer } from "./operator_server.ts";
import { RelayControl } from "./relay_control.ts";
import { createRelayOperator } from "./relay_operator.ts";
import type { RelayStatus } from "./relay_operator.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { Telemetry } from "./telemetry.ts";
import { RelayTree } from "./relay_tree.ts";
import { LineLog } from "./line_log.ts";

/**
 * Entry and gate tick: expiry is late by at most this much. It has a timer of
 * its own, as the least backlog of a window is taken from these looks: with two
 * in place of five a queue that empties now and then looks like one that stays.
 */
const TICK_MS = 20;
/**
 * How often the load is said on links in use: how old it may be where calls are
 * spread, and how soon a silent node is known.
 */
const REPORT_MS = 100;
/** Ticks between notes of the own load, as often as others report theirs. */
const OWN_LOAD_TICKS = REPORT_MS / TICK_MS;
/** Ticks between reports of what workspaces asked for. */
const USAGE_TICKS = USAGE_INTERVAL_MS / TICK_MS;
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
  readonly #tree: RelayTree;
  /** The least urgent rank of the routes and workspaces in force. */
  #lastRank = 0;
  readonly #gate: GateCalls;
  readonly #access: KeyAccess;
  readonly #quotas: QuotaGate;
  readonly #entry: EntryCalls;
  readonly #callers: CallerServer;
  readonly #meshClient: MeshClient;
  readonly #meshServer: MeshServer;
  readonly #control: RelayControl;
  readonly #operator: OperatorServer;
  readonly #log: LineLog;
  readonly #loop = new LoopWatch({
    readClock: readSteadyMs,
    periodMs: TICK_MS,
  });
  readonly #firstRequests = new FirstRequests(readSteadyMs);
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
        loop: this.#loop,
        maxConnections: () => this.#control.announcement.connections,
        getObjectiveMs: (route) => this.#control.getObjectiveMs(route),
        recordRun: (run, change) =>
          this.#tree.noteRun(run, change, readSteadyMs()),
        recordArrival: (route, service) =>
          this.#tree.noteArrival(route, service, readSteadyMs()),
        onBackendLost: () => this.#loseBackend(),
      }),
    );
    this.#meshClient = this.#owned.use(
      new MeshClient({
        onFrame: (address, frame) => this.#entry.receive(address, frame),
        onLost: (address, reason, wasOpen) => {
          log.write({ event: "LinkLost", isFailure: true, address, reason });
          this.#entry.handleLinkLoss(address, reason, wasOpen);
        },
        readClock,
        getService: () => this.#control.announcement.service,
      }),
    );
    this.#tree = new RelayTree({
      members: this.#members,
      getService: () => this.#control.announcement.service,
    });
    this.#entry = new EntryCalls({
      dataCentre,
      members: this.#members,
      budget,
      links: this.#createPath(),
      readClock,
      draw: Math.random,
      getLastRank: () => this.#lastRank,
      log,
      loop: this.#loop,
      receiveCallerReport: (address, report) =>
        this.#tree.hear(address, report, readSteadyMs()),
      recordAttempt: (service, cause) => metrics.countAttempt(service, cause),
      recordCallDuration: (route, elapsedMs) =>
        metrics.noteDuration(route, elapsedMs),
    });
    this.#meshServer = this.#owned.use(this.#createMeshServer());
    this.#access = new KeyAccess({
      leaseMs: settings.keyLeaseMs,
      readClocks: readBothClocks,
      computeDigest: computeKeyDigest,
    });
    this.#quotas = new QuotaGate({
      terms: settings.quotaTerms,
      draw: Math.random,
    });
    this.#callers = this.#owned.use(
      new CallerServer({
        workspaces: new WorkspaceCheck(this.#access, this.#quotas),
        requestProof: () => this.#control.askProof(),
        address: parseAddress(settings.callers)!,
        dialect,
        startCall: (request, service, onResult) =>
          this.#entry.start(request, service, onResult),
        observeCall: (call) => this.#tree.observe(call, readSteadyMs()),
        recordConnection: () => {
          this.#loop.recordAccepted();
          this.#firstRequests.recordAccepted();
        },
        firstRequests: this.#firstRequests,
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
        access: this.#access,
        quotas: this.#quotas,
        onTold: () => this.#callers.resumeProofWaiters(),
        onRoutes: (routes) => {
          const { workspaces = [] } = routes;
          this.#lastRank = countRanks(routes.routes.map(({ rank }) => rank)) *
              countRanks(workspaces.map(({ rank = 0 }) => rank)) - 1;
          this.#callers.replaceRoutes(routes);
        },
      }),
    );
    this.#operator = this.#owned.use(
      createRelayOperator(
        settings,
        this.#telemetry,
        () => this.#createStatus(),
        () => this.#entry.countByService(),
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
      isSameProcessInstance(before, backend);
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
      servesKeys: this.#access.isValid,
      limitedWorkspaces: this.#quotas.shares,
    };
  }

  #isIdle(): boolean {
    return this.#gate.openCount === 0 && this.#callers.openCount === 0;
  }

  #tick(): void {
    this.#ticks += 1;
    this.#loop.tick();
    this.#access.tick();
    this.#callers.tick();
    this.#entry.tick();
    this.#gate.tick();
    if (this.#ticks % OWN_LOAD_TICKS === 0) {
      this.#noteOwnLoad();
    }
    if (this.#ticks % USAGE_TICKS === 0) {
      this.#control.reportUsage();
    }
    if (this.#ticks % IDLE_TICKS === 0) {
      this.#meshClient.closeIdle();
    }
  }

  /** The own gate is a member like the others, but no link reports it. */
  #noteOwnLoad(): void {
    const { mesh } = this.#settings;
    const nowMs = readSteadyMs();
    const load = this.#gate.readLoad();
    this.#entry.receive(mesh, this.#tree.createOwnReport(load, nowMs));
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
      withdraw: (address: string, call: number) => {
        if (address === own) {
          this.#gate.receive(LOCAL, { type: "CallCancelled", call }, () => {});
        } else {
          this.#meshClient.withdraw(address, call);
        }
      },
      isOpen: (address: string) =>
        address === own || this.#meshClient.isOpen(address),
      getLastReceivedAtMs: (address: string) =>
        address === own
          ? undefined
          : this.#meshClient.getLastReceivedAtMs(address),
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
      onFrames: (link, frames, delayMs) =>
        this.#gate.receiveAll(String(link), frames, {
          send: (answer) => this.#meshServer.send(link, answer),
          delayMs,
        }),
      onClosed: (link) => this.#gate.handleLinkLoss(String(link)),
      hasCalls: (link) => this.#gate.hasCalls(String(link)),
      reportIntervalMs: REPORT_MS,
      createReport: () =>
        this.#tree.createNews(this.#gate.readLoad(), readSteadyMs()),
      readClock: readSteadyMs,
    });
  }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
