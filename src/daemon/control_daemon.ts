/**
 * The control role: connects the event loop of one replica to its listeners.
 */
import { DisposalStack } from "../base/common/disposal.ts";
import { EventLoop } from "../base/node/event_loop.ts";
import { parseAddress } from "../base/node/listen.ts";
import { startTicks } from "../base/node/shared_ticks.ts";
import { readSteadyMs } from "../base/node/steady_clock.ts";
import { createClusterReport } from "../engine/control/common/cluster_report.ts";
import { createControlReport } from "../engine/control/common/control_report.ts";
import { isConfirmed } from "../engine/control/common/replication_state.ts";
import {
  createReplica,
  reduceReplica,
} from "../engine/control/common/replica_reducer.ts";
import type {
  ReplicaEffect,
  ReplicaEvent,
  ReplicaState,
} from "../engine/control/common/replica_reducer.ts";
import {
  createOrderCommand,
  listCrashRows,
} from "../engine/control/common/crash_records.ts";
import { listHolders } from "../engine/control/common/holders.ts";
import type { ReplicationOptions } from "../engine/control/common/replication_reducer.ts";
import { isClusterMessage } from "../engine/link/common/cluster_messages.ts";
import { isPresenceMessage } from "../engine/link/common/link_messages.ts";
import type {
  InboundMessage,
  OutboundMessage,
} from "../engine/link/common/link_messages.ts";
import type { EditResult } from "../engine/link/common/cluster_messages.ts";
import type { RouteDocument } from "../engine/routes/common/route_table.ts";
import type { ReplaceRoutes } from "../engine/table/common/table_reducer.ts";
import type { LinkTiming } from "../engine/link/common/link_reducer.ts";
import { LinkServer } from "../engine/link/node/link_server.ts";
import { ReplicaLinks } from "../engine/link/node/replica_links.ts";
import type { StorageError } from "../engine/storage/common/storage_error.ts";
import type { DataFolder } from "../engine/storage/node/data_folder.ts";
import type { QuotaTerms } from "../engine/workspaces/common/quota_shares.ts";
import { TRACE_VERSION } from "../engine/trace/common/trace_format.ts";
import { TraceRecorder } from "../engine/trace/node/trace_recorder.ts";
import {
  ClusterLinks,
  createAddressFinder,
  createCluster,
  listPeers,
} from "./cluster_links.ts";
import { registerControlGauges } from "./control_gauges.ts";
import { ControlRequests } from "./control_requests.ts";
import { LineLog } from "./line_log.ts";
import { OperatorServer } from "./operator_server.ts";
import type {
  OperatorAnswer,
  OperatorRequest,
  OperatorRoute,
} from "./operator_server.ts";
import { parseQuarantineOrder } from "./quarantine_body.ts";
import { ReplicaDisk } from "./replica_disk.ts";
import { RoutesLog } from "./routes_log.ts";
import type { InvalidRoutes } from "./routes_log.ts";
import { reportSecurity } from "./security.ts";
import type { Security } from "./security.ts";
import type { ControlSettings } from "./settings.ts";
import { Telemetry } from "./telemetry.ts";

const TICK_INTERVAL_MS = 250;
const REPLICATION_TICK_INTERVAL_MS = 50;
/** Longest time that a drain waits for the leadership transfer. */
const HANDOVER_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 20;

/** Options of a control replica. */
export interface ControlDaemonOptions {
  readonly settings: ControlSettings;
  readonly security: Security;
  readonly linkPace?: LinkTiming | undefined;
  readonly quotaTerms?: QuotaTerms | undefined;
  /** The daemon takes ownership and disposes of it. */
  readonly folder: DataFolder;
  /** Called when a write failed; the process must then exit. */
  readonly onStorageError: (error: StorageError) => void;
}

/** A running control replica. */
export class ControlDaemon implements AsyncDisposable {
  readonly #settings: ControlSettings;
  readonly #security: Security;
  readonly #linkPace: LinkTiming | undefined;
  readonly #disposables = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #loop: EventLoop<ReplicaState, ReplicaEvent, ReplicaEffect>;
  readonly #disk: ReplicaDisk;
  readonly #linkServer: LinkServer;
  readonly #replicaLinks: ReplicaLinks;
  readonly #clusterLinks: ClusterLinks;
  readonly #requests: ControlRequests;
  readonly #routesLog: RoutesLog;
  readonly #operatorServer: OperatorServer;

  constructor(options: ControlDaemonOptions) {
    const { settings, security, folder, onStorageError } = options;
    this.#settings = settings;
    this.#security = security;
    this.#linkPace = options.linkPace;
    this.#telemetry = this.#disposables.use(new Telemetry(settings));
    reportSecurity(this.#telemetry.log, security);
    const dispatch = (event: ReplicaEvent) => this.#loop.dispatch(event);
    this.#disk = this.#disposables.use(
      new ReplicaDisk({ folder, dispatch, onError: onStorageError }),
    );
    const start = {
      ...createReplicationOptions(settings, folder),
      quotaTerms: options.quotaTerms,
    };
    this.#loop = new EventLoop({
      initial: createReplica(start),
      ...this.#createObserver(start),
      reduce: reduceReplica,
      readClock: readSteadyMs,
      perform: (effect) => this.#perform(effect),
    });
    this.#linkServer = this.#disposables.use(this.#createLinkServer());
    this.#replicaLinks = this.#disposables.use(this.#createReplicaLinks());
    this.#clusterLinks = new ClusterLinks({
      dialled: this.#replicaLinks,
      accepted: this.#linkServer,
      findAddress: createAddressFinder(settings),
    });
    this.#requests = new ControlRequests(dispatch);
    this.#operatorServer = this.#disposables.use(this.#createOperatorServer());
    registerControlGauges(this.#telemetry.metrics, () => this.#loop.state);
    this.#routesLog = this.#createRoutesLog();
    this.#routesLog.recordRestored();
    this.#reportDataFolder(folder);
  }

  /** Opens the listeners. */
  async open(): Promise<void> {
    await this.#linkServer.open();
    await this.#operatorServer.open();
    this.#replicaLinks.open();
    this.#startTicks("Ticked", TICK_INTERVAL_MS);
    this.#startTicks("ReplicationTicked", REPLICATION_TICK_INTERVAL_MS);
    this.#telemetry.record({ type: "ProcessStarted", role: "control" });
  }

  /** Replaces the routes; resolves when the edit is committed or refused. */
  replaceRoutes(editId: string, change: ReplaceRoutes): Promise<EditResult> {
    return this.#routesLog.observeChange(
      { editId, change },
      () => this.#requests.replaceRoutes(editId, change),
    );
  }

  /** Describes why a replacement is too large; undefined if it isn't. */
  checkRoutesSize(editId: string, change: ReplaceRoutes): string | undefined {
    return this.#requests.checkRoutesSize(editId, change);
  }

  /**
   * Reads the routes; undefined if no quorum confirmed that they are current.
   */
  readRoutes(): Promise<RouteDocument | undefined> {
    return this.#routesLog.observeRead(() =>
      this.#requests.readConfirmed(
        () => this.#loop.state.replication.tableState.document,
      )
    );
  }

  /** Logs that a change of the routes was refused as invalid. */
  reportInvalidRoutes(invalid: InvalidRoutes): void {
    this.#routesLog.recordInvalid(invalid);
  }

  /** Adds control replicas that the reloaded settings name as seeds. */
  addSeeds(seeds: readonly string[]): void {
    this.#telemetry.log.info({ seeds: [...seeds] }, "SettingsRead");
    this.#loop.dispatch({ type: "SeedsLearned", seeds });
  }

  /** Logs that changed settings are invalid; the previous ones stay in use. */
  reportInvalidSettings(reason: string): void {
    this.#telemetry.log.warn({ reason }, "SettingsInvalid");
  }

  /** Transfers leadership, so that a planned stop needs no election. */
  async drain(): Promise<void> {
    const endMs = readSteadyMs() + HANDOVER_TIMEOUT_MS;
    this.#loop.dispatch({ type: "StopPlanned" });
    while (this.#isHandingOver() && readSteadyMs() < endMs) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#disposables[Symbol.asyncDispose]();
  }

  #startTicks(type: "Ticked" | "ReplicationTicked", everyMs: number): void {
    this.#disposables.defer(
      startTicks(everyMs, () => this.#loop.dispatch({ type })),
    );
  }

  #isHandingOver(): boolean {
    const { role } = this.#loop.state.replication.consensus;
    return role.type === "Leader" && role.transfer !== undefined;
  }

  #perform(effect: ReplicaEffect): void {
    switch (effect.type) {
      case "SendToLink":
        this.#linkServer.send(effect.linkId, effect.message);
        return;
      case "SendToReplicas":
        this.#replicaLinks.sendAll(effect.message);
        return;
      case "SendToReplica":
        this.#replicaLinks.send(effect.replica, effect.message);
        return;
      case "SendToPeer":
        this.#clusterLinks.send(effect.peer, effect.message);
        return;
      case "LinkPeer":
        this.#replicaLinks.add(effect.peer);
        return;
      case "UnlinkPeer":
        this.#replicaLinks.remove(effect.peer);
        return;
      case "PersistLog":
      case "PersistSnapshot":
      case "StoreFounding":
        this.#disk.perform(effect);
        return;
      case "AnswerEdit":
        this.#requests.resolveEdit(effect.requestId, effect.result);
        return;
      case "AnswerRead":
        this.#requests.resolveRead(effect.requestId, effect.isCurrent);
        return;
      case "RecordEvent":
        this.#telemetry.record(effect.event);
        return;
      case "RecordRoutes":
        this.#routesLog.record(effect.record);
        return;
    }
  }

  #createRoutesLog(): RoutesLog {
    const { log, metrics } = this.#telemetry;
    return new RoutesLog({
      log: new LineLog(
        log,
        (event, outcome) => metrics.countDecision(event, outcome),
      ),
      readState: () => this.#loop.state.replication,
      countChange: (outcome) => metrics.countRoutesChange(outcome),
      countRead: (outcome) => metrics.countRoutesRead(outcome),
    });
  }

  /** Creates the trace recorder if the settings name a trace file. */
  #createObserver(start: ReplicationOptions) {
    const { trace } = this.#settings;
    if (trace === undefined) {
      return {};
    }
    const recorder = this.#disposables.use(
      new TraceRecorder(trace.file, {
        format: "basilpin-trace",
        version: TRACE_VERSION,
        role: "control",
        start,
      }),
    );
    return {
      observe: (event: ReplicaEvent, atMs: number) =>
        recorder.record({ atMs, event }),
    };
  }

  #createLinkServer(): LinkServer {
    return new LinkServer({
      address: parseAddress(this.#settings.listen.link)!,
      tls: this.#security.tls,
      onMessage: (linkId, message) => this.#receive(linkId, message),
      onClose: (linkId) => this.#loop.dispatch({ type: "LinkClosed", linkId }),
      clock: this.#telemetry.clock,
      silenceMs: this.#linkPace?.silenceMs,
    });
  }

  #receive(linkId: number, message: InboundMessage): void {
    if (isClusterMessage(message)) {
      this.#clusterLinks.observe(message, linkId);
      this.#loop.dispatch({ type: "ClusterMessageReceived", message });
      return;
    }
    if (isPresenceMessage(message)) {
      const channel = { type: "Accepted", linkId } as const;
      this.#loop.dispatch({ type: "PresenceReceived", channel, message });
      return;
    }
    this.#loop.dispatch({ type: "NodeMessageReceived", linkId, message });
  }

  #createReplicaLinks(): ReplicaLinks {
    return new ReplicaLinks({
      id: this.#settings.id,
      tls: this.#security.tls,
      replicas: listPeers(this.#settings).map(({ link }) => link),
      onMessage: (message, replica) => this.#receiveReply(message, replica),
      clock: this.#telemetry.clock,
      pace: this.#linkPace,
    });
  }

  #receiveReply(message: OutboundMessage, replica: string): void {
    if (isClusterMessage(message)) {
      this.#loop.dispatch({ type: "ClusterMessageReceived", message });
    } else if (isPresenceMessage(message)) {
      const channel = { type: "Dialled", replica } as const;
      this.#loop.dispatch({ type: "PresenceReceived", channel, message });
    }
  }

  #createOperatorServer(): OperatorServer {
    const { timeline, metrics } = this.#telemetry;
    const readTable = () => this.#loop.state.replication.tableState;
    const routes = new Map<string, OperatorRoute>([
      ["GET /livez", () => ({ status: 200, body: { isAlive: true } })],
      ["GET /readyz", () => this.#answerReadiness()],
      ["GET /status", () => ({ status: 200, body: this.#createStatus() })],
      ["GET /timeline", () => ({ status: 200, body: timeline.list() })],
      ["GET /table", () => this.#requests.handleRead(() => readTable().table)],
      [
        "GET /table/history",
        () => this.#requests.handleRead(() => readTable().history),
      ],
      ["POST /table/edits", (request) => this.#requests.handleEdit(request)],
      ["POST /drain", (request) => this.#requestDrain(request)],
      ["GET /quarantine", () => this.#listQuarantine()],
      ["POST /quarantine", (request) => this.#orderQuarantine(request)],
    ]);
    return new OperatorServer({
      address: parseAddress(this.#settings.listen.operator)!,
      security: this.#security,
      routes,
      answerScrape: (request, response) =>
        metrics.answerScrape(request, response),
    });
  }

  /** Reports the replica as ready while its table is confirmed as current. */
  #answerReadiness(): OperatorAnswer {
    const { replication } = this.#loop.state;
    const isReady = isConfirmed(replication, readSteadyMs());
    return { status: isReady ? 200 : 503, body: { isReady } };
  }

  #requestDrain(request: OperatorRequest): OperatorAnswer {
    const nodeId = request.query.get("node") ?? "";
    const { members } = this.#loop.state.control.membership;
    if (!members.has(nodeId)) {
      const message = `No node ${JSON.stringify(nodeId)}; see basilpin status`;
      return { status: 404, body: { message } };
    }
    this.#loop.dispatch({ type: "DrainOrdered", nodeId });
    return { status: 202, body: { nodeId, isDraining: true } };
  }

  #listQuarantine(): OperatorAnswer {
    const { crashes } = this.#loop.state.replication;
    return { status: 200, body: listCrashRows(crashes, readSteadyMs()) };
  }

  #orderQuarantine({ body, operator }: OperatorRequest): OperatorAnswer {
    const order = parseQuarantineOrder(body);
    if (order.isErr()) {
      return { status: 400, body: { message: order.error } };
    }
    const { crashes } = this.#loop.state.replication;
    const context = { operator, nowMs: readSteadyMs() };
    const command = createOrderCommand(crashes, order.value, context);
    if (command === undefined) {
      const { service, fingerprint } = order.value;
      const message = `No evidence against ${JSON.stringify(fingerprint)} in ` +
        `service ${JSON.stringify(service)}; see basilpin quarantine list`;
      return { status: 404, body: { message } };
    }
    this.#telemetry.log.info({ ...order.value, operator }, "QuarantineOrdered");
    this.#loop.dispatch({ type: "CrashReportReceived", command });
    return { status: 202, body: order.value };
  }

  #createStatus() {
    const { control, replication } = this.#loop.state;
    const nowMs = readSteadyMs();
    return {
      role: "control",
      id: this.#settings.id,
      dataCentre: this.#settings.data_centre,
      ...createControlReport(this.#loop.state, nowMs),
      cluster: createClusterReport(replication, nowMs),
      holders: listHolders(control.holders),
    };
  }

  #reportDataFolder({ replicaId, isNew, cutBytes }: DataFolder): void {
    const { log } = this.#telemetry;
    log.info({ replicaId, isNew }, "Data folder is open");
    if (cutBytes > 0) {
      log.warn({ cutBytes }, "An incomplete last write was cut off the log");
    }
  }
}

/**
 * Creates the initial options of the replica from the settings and the disk.
 */
function createReplicationOptions(
  settings: ControlSettings,
  folder: DataFolder,
): ReplicationOptions {
  return {
    cluster: createCluster(settings),
    replicaId: folder.replicaId,
    recovered: folder.recovered,
    nowMs: readSteadyMs(),
  };
}
