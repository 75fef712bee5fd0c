/**
 * A relay node, whose calls to other nodes use framed links. Connects the entry
 * for callers on its VM, the gate of its backend server and the control link.
 */
import { DisposalStack } from "../base/common/disposal.ts";
import { formatIpEndpoint } from "../base/common/ip_endpoint.ts";
import { parseAddress } from "../base/node/listen.ts";
import { FirstRequests } from "../base/node/first_requests.ts";
import { LoopWatch } from "../base/node/loop_watch.ts";
import { readBothClocks, readSteadyMs } from "../base/node/steady_clock.ts";
import { MeshClient } from "../engine/mesh/node/mesh_client.ts";
import { MeshServer } from "../engine/mesh/node/mesh_server.ts";
import type { CallDialect } from "../engine/relay/common/dialect.ts";
import { computeDrainTimes } from "../engine/relay/common/drain_decision.ts";
import type { DrainTimes } from "../engine/relay/common/drain_decision.ts";
import {
  formatInstance,
  isSameProcessInstance,
} from "../engine/relay/common/local_backend.ts";
import type { LocalBackend } from "../engine/relay/common/local_backend.ts";
import { computeMemoryShares } from "../engine/relay/common/memory_shares.ts";
import { MemberTable } from "../engine/relay/common/member_table.ts";
import { CallerServer } from "../engine/relay/node/caller_server.ts";
import { EntryCalls } from "../engine/relay/node/entry_calls.ts";
import { GateCalls } from "../engine/relay/node/gate_calls.ts";
import { DEPARTURE_RETENTION_MS } from "../engine/membership/common/departures.ts";
import { computeKeyDigest } from "../engine/workspaces/node/key_digest.ts";
import { WorkspaceCheck } from "../engine/workspaces/common/workspace_check.ts";
import { QuotaGate } from "../engine/workspaces/common/quota_gate.ts";
import { USAGE_INTERVAL_MS } from "../engine/workspaces/common/usage_window.ts";
import { countRanks } from "../engine/workspaces/common/workspace.ts";
import { KeyAccess } from "../engine/workspaces/common/key_access.ts";
import type { OperatorServer } from "./operator_server.ts";
import { RelayControl } from "./relay_control.ts";
import { createRelayOperator } from "./relay_operator.ts";
import type { BackendStatus, RelayStatus } from "./relay_operator.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { Telemetry } from "./telemetry.ts";
import { RelayTree } from "./relay_tree.ts";
import { LineLog } from "./line_log.ts";
import { createCrashKnowledge } from "./relay_crashes.ts";
import type { CrashKnowledge } from "../engine/quarantine/common/crash_knowledge.ts";
import type { CrashReport } from "../engine/quarantine/common/crash_messages.ts";

/**
 * Tick interval of entry and gate; calls expire at most this late. The
 * smallest backlog within a window is sampled at these ticks, so they have a
 * timer of their own: with two samples per window instead of five, a queue that
 * empties now and then appears to be a standing one.
 */
const TICK_MS = 20;
/**
 * Interval of load reports on links in use. Bounds the age of the load that
 * routing uses, and the time until a silent node is detected.
 */
const REPORT_INTERVAL_MS = 100;
/**
 * Ticks between records of the own load, which is recorded at the rate at which
 * other nodes report theirs.
 */
const OWN_LOAD_INTERVAL_TICKS = REPORT_INTERVAL_MS / TICK_MS;
/** Ticks between usage reports of workspaces. */
const USAGE_INTERVAL_TICKS = USAGE_INTERVAL_MS / TICK_MS;
/** Ticks between checks for idle links. */
const IDLE_CHECK_INTERVAL_TICKS = 500;
const POLL_INTERVAL_MS = 20;
/** Senders of refused announcements that are remembered, to log each once. */
const MAX_REFUSED_SENDERS = 64;
const MAX_LOGGED_ID_LENGTH = 64;
/**
 * Longest time that a drain waits for callers to close their ends of idle
 * connections, in milliseconds. Bytes that arrive after the process has ended
 * reset a connection, with what its caller has not read yet.
 */
const MAX_CLOSE_WAIT_MS = 300;
/**
 * How long a node refuses a process instance that left before the node started,
 * in milliseconds: until no control replica holds the departure any more.
 */
const LEARNED_DEPARTURE_MS = DEPARTURE_RETENTION_MS + 15_000;
/** Link id of the calls that this node sends to its own gate. */
const LOCAL_LINK_ID = "local";

/** Identity of a process instance of the backend server. */
type ProcessInstanceId = Pick<LocalBackend, "instanceId" | "startedAtMs">;

/** A departure from before the start of this node. */
interface FormerDeparture {
  readonly instance: string;
  /** End of its effect, by the steady clock, in milliseconds. */
  readonly untilMs: number;
}

/** A running relay node. */
export class RelayDaemon implements AsyncDisposable {
  readonly #settings: RelaySettings;
  readonly #disposables = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #members = new MemberTable();
  readonly #callTree: RelayTree;
  /**
   * Highest rank number, the least urgent, of the routes and workspaces in
   * force.
   */
  #lastRank = 0;
  readonly #crashes: CrashKnowledge;
  readonly #gate: GateCalls;
  readonly #access: KeyAccess;
  readonly #quotas: QuotaGate;
  readonly #entry: EntryCalls;
  readonly #callers: CallerServer;
  readonly #meshClient: MeshClient;
  readonly #meshServer: MeshServer;
  readonly #control: RelayControl;
  readonly #operatorServer: OperatorServer;
  readonly #log: LineLog;
  readonly #loopWatch = new LoopWatch({
    readClock: readSteadyMs,
    periodMs: TICK_MS,
  });
  readonly #firstRequests = new FirstRequests(readSteadyMs);
  /** Whether evidence was found since the last tick. */
  #hasNewCrashes = false;
  /** Process instance that has left this node, as announced. */
  #departedInstance: string | undefined;
  /** Process instance that left before this start, as control holds it. */
  #formerDeparture: FormerDeparture | undefined;
  #isStopping = false;
  /** Senders of refused announcements, each with the cause. */
  readonly #refusedSenders = new Set<string>();
  #drainTimes: DrainTimes | undefined;
  #ticks = 0;

  constructor(settings: RelaySettings, dialect: CallDialect) {
    this.#settings = settings;
    const { id, dataCentre, budget } = settings;
    this.#telemetry = this.#disposables.use(
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
    const getDrainTimes = () => this.#drainTimes;
    const log = this.#log;
    this.#crashes = createCrashKnowledge({
      log,
      metrics,
      onFound: (report) => this.#publishCrashes(report),
    });
    const memory = computeMemoryShares(settings.memoryBytes);
    this.#gate = this.#disposables.use(
      new GateCalls({
        memory,
        dialect,
        getDrainTimes,
        readClock,
        log,
        loop: this.#loopWatch,
        isRoomMeasured: () => settings.plansByCapacity,
        isLeaf: () => this.#members.isLeaf(this.#control.announcement.service),
        maxConnections: () => this.#control.announcement.connections,
        getObjectiveMs: (route) => this.#control.getObjectiveMs(route),
        recordRun: (run, change) =>
          this.#callTree.recordRun(run, change, readSteadyMs()),
        recordArrival: (route, service) =>
          this.#callTree.recordArrival(route, service, readSteadyMs()),
        recordLimitedCall: (service, outcome) =>
          metrics.countLimitedCall(service, outcome),
        onBackendLeaving: () => this.changeBackend(this.#gate.backend),
        onBackendLost: () => this.#handleBackendLoss(),
        ingress: settings.mesh,
        crashes: this.#crashes,
        countEnd: (service, sign) => metrics.countBackendEnd(service, sign),
        countSuspect: (service, outcome) =>
          metrics.countSuspectCall(service, outcome),
        countProof: (service, proof) =>
          metrics.countSuspectAnswer(service, proof),
      }),
    );
    this.#meshClient = this.#disposables.use(
      new MeshClient({
        onFrame: (address, frame) => this.#entry.receive(address, frame),
        onLost: (address, reason, wasOpen) => {
          log.write({ event: "LinkLost", isFailure: true, address, reason });
          this.#entry.handleLinkLoss(address, reason, wasOpen);
        },
        readClock,
        getService: () => this.#control.announcement.service,
        getNotice: (address) => this.#members.getNotice(address),
      }),
    );
    this.#callTree = new RelayTree({
      members: this.#members,
      getService: () => this.#control.announcement.service,
      estimatesCosts: settings.plansByCapacity,
    });
    this.#entry = new EntryCalls({
      memory,
      dataCentre,
      members: this.#members,
      budget,
      links: this.#createMeshLinks(),
      getDrainTimes,
      readClock,
      draw: Math.random,
      getLastRank: () => this.#lastRank,
      log,
      loop: this.#loopWatch,
      receiveCallerReport: (address, report) =>
        this.#callTree.receiveCallerReport(address, report, readSteadyMs()),
      recordAttempt: (service, cause) => metrics.countAttempt(service, cause),
      recordCallDuration: (route, elapsedMs) =>
        metrics.recordDuration(route, elapsedMs),
      crashes: this.#crashes,
      getCallerService: () => this.#control.announcement.service,
    });
    this.#meshServer = this.#disposables.use(
      this.#createMeshServer(memory.links),
    );
    this.#access = new KeyAccess({
      leaseMs: settings.keyLeaseMs,
      readClocks: readBothClocks,
      computeDigest: computeKeyDigest,
    });
    this.#quotas = new QuotaGate({
      terms: settings.quotaTerms,
      draw: Math.random,
    });
    this.#callers = this.#disposables.use(
      new CallerServer({
        memory,
        workspaces: new WorkspaceCheck(this.#access, this.#quotas),
        requestProof: () => this.#control.requestProof(),
        address: parseAddress(settings.callers)!,
        dialect,
        startCall: (request, service, onResult) =>
          this.#entry.start(request, service, onResult),
        observeCall: (call) => this.#callTree.recordCall(call, readSteadyMs()),
        recordConnection: () => {
          this.#loopWatch.recordAccepted();
          this.#firstRequests.recordAccepted();
        },
        firstRequests: this.#firstRequests,
        getCallerService: () => this.#control.announcement.service,
        getDrainTimes,
        readClock,
        draw: Math.random,
        log,
      }),
    );
    this.#control = this.#disposables.use(
      new RelayControl({
        settings,
        members: this.#members,
        log,
        access: this.#access,
        quotas: this.#quotas,
        crashes: this.#crashes,
        onDeparture: (instance) => this.#receiveDeparture(instance),
        onAccessUpdated: () => this.#callers.resumeProofWaiters(),
        onRoutes: (routes) => {
          const { workspaces = [] } = routes;
          this.#lastRank = countRanks(routes.routes.map(({ rank }) => rank)) *
              countRanks(workspaces.map(({ rank = 0 }) => rank)) - 1;
          this.#callers.replaceRoutes(routes);
        },
        countRoutesVersion: () => metrics.countRoutesVersion(),
      }),
    );
    this.#operatorServer = this.#disposables.use(
      createRelayOperator(
        settings,
        this.#telemetry,
        () => this.#createStatus(),
        () => this.#entry.countByService(),
      ),
    );
  }

  /**
   * Whether this node is ready for callers: it has routes and is not stopping.
   */
  get isReady(): boolean {
    return this.#control.hasRoutes && !this.#isStopping;
  }

  /** The backend server as last announced. */
  get backend(): LocalBackend | undefined {
    return this.#gate.backend;
  }

  /** Opens the listeners and the link to control, and starts the ticks. */
  async open(): Promise<void> {
    await this.#meshServer.open();
    await this.#callers.open();
    await this.#operatorServer.open();
    this.#control.open();
    this.#introduceService();
    const tick = setInterval(() => this.#tick(), TICK_MS);
    this.#disposables.defer(() => clearInterval(tick));
    this.#telemetry.record({ type: "ProcessStarted", role: "node" });
  }

  /** Adds control replicas that the reloaded settings name. */
  addSeeds(seeds: readonly string[]): void {
    this.#log.write({ event: "SettingsRead", isFailure: false, seeds });
    this.#control.addSeeds(seeds);
  }

  /** Logs that changed settings are invalid; the previous ones stay in use. */
  reportInvalidSettings(reason: string): void {
    this.#log.write({ event: "SettingsInvalid", isFailure: true, reason });
  }

  /**
   * Counts a refused announcement of a backend server by its cause, and logs
   * the first one of each sender; the previous announcement stays in force.
   */
  reportRefusedAnnouncement(
    instanceId: string,
    { cause, reason }: { readonly cause: string; readonly reason: string },
  ): void {
    const event = "AnnouncementRefused";
    const id = instanceId.slice(0, MAX_LOGGED_ID_LENGTH);
    const sender = `${id} ${cause}`;
    if (this.#refusedSenders.has(sender)) {
      this.#telemetry.metrics.countDecision(event, cause);
      return;
    }
    if (this.#refusedSenders.size >= MAX_REFUSED_SENDERS) {
      this.#refusedSenders.clear();
    }
    this.#refusedSenders.add(sender);
    const line = { instanceId: id, reason: cause, detail: reason };
    this.#log.write({ event, isFailure: true, ...line });
  }

  /** Path of a service's health check; undefined if the routes don't name it. */
  getHealthPath(service: string): string | undefined {
    return this.#control.getHealthPath(service);
  }

  /**
   * Applies an announcement of the backend server; undefined after its loss.
   * One that said in an answer that it leaves drains, whatever it announces;
   * one that left before this start gets nothing.
   */
  changeBackend(announced: LocalBackend | undefined): void {
    const previous = this.#gate.backend;
    const hasLeft = announced !== undefined && this.#hasFormerlyLeft(announced);
    this.#gate.changeBackend(hasLeft ? undefined : announced);
    this.#announceBackend(previous);
  }

  /**
   * Applies the notice of a backend server that it has left; `isCurrent` unless
   * another one has replaced it, or none has announced itself since the start.
   */
  recordDeparture(departed: ProcessInstanceId, isCurrent: boolean): void {
    const previous = this.#gate.backend;
    this.#departedInstance = formatInstance(departed);
    if (isCurrent) {
      this.#gate.recordDeparture();
    }
    this.#announceBackend(previous);
  }

  /** Applies a departure from before this start, as control holds it. */
  #receiveDeparture(instance: string): void {
    const isKnown = instance === this.#departedInstance ||
      instance === this.#formerDeparture?.instance;
    if (isKnown) {
      return;
    }
    const untilMs = readSteadyMs() + LEARNED_DEPARTURE_MS;
    this.#formerDeparture = { instance, untilMs };
    this.#log.write({ event: "DepartureLearned", isFailure: false, instance });
    const { backend } = this.#gate;
    if (backend !== undefined && this.#hasFormerlyLeft(backend)) {
      this.#gate.recordDeparture();
      this.#announceBackend(backend);
    }
  }

  #hasFormerlyLeft(backend: LocalBackend): boolean {
    const former = this.#formerDeparture;
    return former !== undefined && readSteadyMs() < former.untilMs &&
      former.instance === formatInstance(backend);
  }

  #announceBackend(previous: LocalBackend | undefined): void {
    const { backend } = this.#gate;
    const current = this.#control.announcement;
    const service = backend?.service ?? current.service;
    const isDraining = this.#isStopping || backend === undefined ||
      backend.isDraining;
    const slots = backend?.slots ?? current.slots;
    const isSame = service === current.service && slots === current.slots &&
      isDraining === current.isDraining &&
      this.#departedInstance === current.departedInstance &&
      isSameProcessInstance(previous, backend);
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
    const backendInstance = backend === undefined
      ? current.backendInstance
      : formatInstance(backend);
    this.#control.announce({
      service,
      slots,
      isDraining,
      backendInstance,
      departedInstance: this.#departedInstance,
    });
    if (service !== current.service) {
      this.#introduceService();
    }
  }

  /**
   * Announces the drain and resolves when no calls are open, or at `drainMs`
   * after the start. What has not been passed on shortly before is refused.
   */
  async drain(): Promise<void> {
    this.#isStopping = true;
    this.#telemetry.record({ type: "DrainStarted" });
    const times = computeDrainTimes(readSteadyMs(), this.#settings.drainMs);
    this.#drainTimes = times;
    this.#control.announce({ isDraining: true });
    this.#callers.drain();
    await waitUntil(() => readSteadyMs() >= times.noticeEndMs);
    // Until the close is complete, further requests may still be taken.
    let isClosed = false;
    this.#callers.close().then(() => isClosed = true);
    const isDone = () => isClosed && this.#isIdle();
    await waitUntil(() => isDone() || readSteadyMs() >= times.refuseAtMs);
    if (!isDone()) {
      this.#gate.refuseWaiting();
      this.#entry.recallAll();
      this.#callers.refuseUnstarted();
      await waitUntil(() => isDone() || readSteadyMs() >= times.releaseAtMs);
      this.#callers.releaseHeldAnswers();
      await waitUntil(() => isDone() || readSteadyMs() >= times.endMs);
    }
    await this.#callers.waitForClose(
      Math.min(MAX_CLOSE_WAIT_MS, times.endMs - readSteadyMs()),
    );
    this.#control.leave();
    this.#telemetry.record({ type: "DrainEnded" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#disposables[Symbol.asyncDispose]();
  }

  #createStatus(): RelayStatus {
    return {
      isReady: this.isReady,
      isDraining: this.#isStopping,
      routesVersion: this.#control.routesVersion,
      routesAgeMs: Math.round(this.#control.routesAgeMs),
      backend: createBackendStatus(this.#gate.backend),
      notice: this.#gate.notice,
      tokens: this.#gate.tokens,
      load: this.#gate.readLoad(),
      openCalls: this.#entry.openCount,
      members: this.#members.countNodes(),
      servesKeys: this.#access.isValid,
      limitedWorkspaces: this.#quotas.shares,
    };
  }

  #isIdle(): boolean {
    return this.#gate.openCount === 0 && this.#callers.isAtRest;
  }

  #tick(): void {
    this.#ticks += 1;
    this.#loopWatch.tick();
    this.#access.tick();
    if (this.#hasNewCrashes) {
      this.#hasNewCrashes = false;
      this.#control.reportCrashes();
    }
    this.#callers.tick();
    this.#entry.tick();
    this.#gate.tick();
    if (this.#ticks % OWN_LOAD_INTERVAL_TICKS === 0) {
      this.#recordOwnLoad();
    }
    if (this.#ticks % USAGE_INTERVAL_TICKS === 0) {
      this.#control.reportUsage();
    }
    if (this.#ticks % IDLE_CHECK_INTERVAL_TICKS === 0) {
      this.#meshClient.closeIdle(this.#entry.listCalledAddresses());
      this.#crashes.prune();
    }
  }

  /** Records the load of the own gate, which is not reported over any link. */
  #recordOwnLoad(): void {
    const { mesh } = this.#settings;
    const nowMs = readSteadyMs();
    const load = this.#gate.readLoad();
    this.#entry.receive(mesh, this.#callTree.createOwnReport(load, nowMs));
  }

  /**
   * Sends the service of this node, as caller, on all links and to the own
   * gate.
   */
  #introduceService(): void {
    const { service } = this.#control.announcement;
    this.#meshClient.introduce();
    this.#gate.receive(
      LOCAL_LINK_ID,
      { type: "CallerIntroduced", service },
      () => {},
    );
  }

  /**
   * Tells the nodes that call this one of new evidence at once, so that copies
   * of the request which come to them meanwhile aren't handed over.
   */
  #publishCrashes(report: CrashReport): void {
    if (report.service === this.#gate.backend?.service) {
      this.#meshServer.broadcast({
        type: "LoadReported",
        load: this.#gate.readLoad(),
        below: undefined,
        callers: [],
        crashes: report,
      });
    }
    this.#hasNewCrashes = true;
  }

  /**
   * Stops calls to a backend server that no longer accepts connections, until
   * it announces itself again.
   */
  #handleBackendLoss(): void {
    this.changeBackend(undefined);
  }

  /**
   * Creates the links to the gates; calls to the own gate bypass the socket.
   */
  #createMeshLinks() {
    const own = this.#settings.mesh;
    return {
      send: (address: string, frame: Parameters<MeshClient["send"]>[1]) => {
        if (address === own) {
          this.#gate.receive(
            LOCAL_LINK_ID,
            frame,
            (answer) => this.#entry.receive(own, answer),
          );
        } else {
          this.#meshClient.send(address, frame);
        }
      },
      withdraw: (address: string, call: number) => {
        if (address === own) {
          this.#gate.receive(
            LOCAL_LINK_ID,
            { type: "CallCancelled", call },
            () => {},
          );
        } else {
          this.#meshClient.withdraw(address, call);
        }
      },
      recall: (address: string, call: number) => {
        if (address === own) {
          this.#gate.receive(
            LOCAL_LINK_ID,
            { type: "CallCancelled", call, isRecall: true },
            () => {},
          );
        } else {
          this.#meshClient.recall(address, call);
        }
      },
      isOpening: (address: string) =>
        address !== own && this.#meshClient.isOpening(address),
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

  #createMeshServer(maxBufferedBytes: number): MeshServer {
    return new MeshServer({
      maxBufferedBytes,
      address: parseAddress(this.#settings.mesh)!,
      onFrames: (link, frames, delayMs) =>
        this.#gate.receiveAll(String(link), frames, {
          send: (answer) => this.#meshServer.send(link, answer),
          delayMs,
        }),
      onClosed: (link) => this.#gate.handleLinkLoss(String(link)),
      hasCalls: (link) => this.#gate.hasCalls(String(link)),
      reportIntervalMs: REPORT_INTERVAL_MS,
      createReport: () =>
        this.#callTree.createPeriodicReport(
          this.#gate.readLoad(),
          readSteadyMs(),
        ),
      readClock: readSteadyMs,
    });
  }
}

function createBackendStatus(
  backend: LocalBackend | undefined,
): BackendStatus | undefined {
  return backend && { ...backend, address: formatIpEndpoint(backend.address) };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
