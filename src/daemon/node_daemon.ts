/** The node role: connects the event loop of one node to its listeners. */
import { EventLoop } from "../base/node/event_loop.ts";
import { FirstRequests } from "../base/node/first_requests.ts";
import { LoopWatch } from "../base/node/loop_watch.ts";
import { DisposalStack } from "../base/common/disposal.ts";
import { parseAddress } from "../base/node/listen.ts";
import { readSteadyMs } from "../base/node/steady_clock.ts";
import { TICK_MS } from "../engine/call/common/call_events.ts";
import type {
  NodeEffect,
  NodeEvent,
} from "../engine/call/common/call_events.ts";
import { reduceNode } from "../engine/call/common/node_reducer.ts";
import { createNodeState, isIdle } from "../engine/call/common/node_state.ts";
import type { NodeState } from "../engine/call/common/node_state.ts";
import { CallServer } from "../engine/call/node/call_server.ts";
import type {
  ControlMessage,
  NodeMessage,
} from "../engine/link/common/link_messages.ts";
import { readControlMessage } from "../engine/link/common/node_inbox.ts";
import { LinkClient } from "../engine/link/node/link_client.ts";
import type { Announcement } from "../engine/membership/common/announcement.ts";
import { isServiceKnown } from "../engine/routing/common/routing_state.ts";
import {
  HintPoller,
  MAX_HINT_CONNECTIONS,
} from "../engine/routing/node/hint_poller.ts";
import { PeerClient } from "../engine/peer/node/peer_client.ts";
import { TRACE_VERSION } from "../engine/trace/common/trace_format.ts";
import { TraceRecorder } from "../engine/trace/node/trace_recorder.ts";
import { OperatorServer } from "./operator_server.ts";
import {
  answerReadiness,
  createNodeStatus,
  registerNodeGauges,
} from "./node_report.ts";
import type { OperatorRoute } from "./operator_server.ts";
import { reportSecurity } from "./security.ts";
import type { Security } from "./security.ts";
import type { NodeSettings } from "./settings.ts";
import { Telemetry } from "./telemetry.ts";
import { TimerSet } from "./timer_set.ts";

/** Time that a drain gives its announcement to reach the subscribers. */
const DRAIN_NOTICE_MS = 1_000;
const POLL_INTERVAL_MS = 20;

/** A running node. */
export class NodeDaemon implements AsyncDisposable {
  readonly #settings: NodeSettings;
  readonly #security: Security;
  readonly #disposables = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #loop: EventLoop<NodeState, NodeEvent, NodeEffect>;
  readonly #loopWatch = new LoopWatch({
    readClock: readSteadyMs,
    periodMs: TICK_MS,
  });
  readonly #firstRequests = new FirstRequests(readSteadyMs);
  readonly #callServer: CallServer;
  readonly #controlLink: LinkClient<ControlMessage, NodeMessage>;
  readonly #timers: TimerSet;
  readonly #peerClient: PeerClient;
  readonly #operatorServer: OperatorServer;
  #linkedReplica: string | undefined;
  #linkNumber = 0;

  constructor(settings: NodeSettings, security: Security) {
    this.#settings = settings;
    this.#security = security;
    this.#telemetry = this.#disposables.use(new Telemetry(settings));
    reportSecurity(this.#telemetry.log, security);
    const self = createAnnouncement(settings);
    const backendAddress = settings.backend.address;
    this.#loop = new EventLoop({
      initial: createNodeState(self, backendAddress),
      ...this.#createObserver(self),
      reduce: reduceNode,
      readClock: readSteadyMs,
      perform: (effect) => this.#perform(effect),
    });
    const dispatch = (event: NodeEvent) => this.#loop.dispatch(event);
    this.#timers = this.#disposables.use(
      new TimerSet((key) => dispatch({ type: "TimerFired", key })),
    );
    this.#callServer = this.#disposables.use(this.#createCallServer(dispatch));
    this.#peerClient = this.#disposables.use(
      new PeerClient({ tls: security.tls, clock: this.#telemetry.clock }),
    );
    this.#controlLink = this.#disposables.use(this.#createControlLink());
    this.#operatorServer = this.#disposables.use(this.#createOperatorServer());
    registerNodeGauges(this.#telemetry.metrics, () => this.#loop.state);
  }

  /** Opens the listeners and the link to control, and starts the ticks. */
  async open(): Promise<void> {
    await this.#callServer.open();
    await this.#operatorServer.open();
    this.#controlLink.open();
    const tick = setInterval(() => {
      this.#loopWatch.tick();
      this.#loop.dispatch({ type: "Ticked" });
    }, TICK_MS);
    this.#disposables.defer(() => clearInterval(tick));
    this.#startHintPolling();
    this.#telemetry.record({ type: "ProcessStarted", role: "node" });
  }

  /**
   * Announces the drain and resolves when all calls have ended. Until the calls
   * that the local backend server serves have ended, its own calls and those of
   * callers are served as before. Then the node leaves its service and closes
   * its listeners.
   */
  async drain(): Promise<void> {
    this.#loop.dispatch({ type: "DrainRequested" });
    await waitMs(DRAIN_NOTICE_MS);
    await waitUntil(() => this.#loop.state.served.size === 0);
    this.#controlLink.send({ type: "Leave" });
    await this.#callServer.close();
    await waitUntil(() =>
      isIdle(this.#loop.state) && this.#callServer.openCount === 0
    );
    this.#telemetry.record({ type: "DrainEnded" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#disposables[Symbol.asyncDispose]();
  }

  #perform(effect: NodeEffect): void {
    switch (effect.type) {
      case "StartTimer":
        this.#timers.start(effect.key, effect.atMs);
        return;
      case "StopTimer":
        this.#timers.stop(effect.key);
        return;
      case "SubscribeService":
        this.#controlLink.send({ type: "Subscribe", service: effect.service });
        return;
      case "UnsubscribeService":
        this.#controlLink.send({
          type: "Unsubscribe",
          service: effect.service,
        });
        return;
      case "SendAnnouncement":
        if (effect.announcement.isDraining) {
          this.#callServer.drain();
        }
        this.#announce(effect.announcement);
        return;
      case "AskPeer":
        this.#requestFromPeer(effect);
        return;
      case "ReportCopied":
        this.#controlLink.send(effect);
        return;
      case "ConfirmTable":
        this.#controlLink.send(this.#createHeartbeat());
        return;
      case "RecordEvent":
        this.#telemetry.record(effect.event);
        return;
      default:
        this.#callServer.perform(effect);
    }
  }

  #requestFromPeer(effect: Extract<NodeEffect, { type: "AskPeer" }>): void {
    const { requestId } = effect;
    const isOwn = effect.address === this.#loop.state.self.ingress &&
      !effect.isFresh;
    const replied = isOwn
      ? this.#callServer.ask(effect.message)
      : this.#peerClient.send(effect);
    replied.then((reply) => {
      this.#loop.dispatch({ type: "PeerReplied", requestId, reply });
    });
  }

  /** Creates the trace recorder if the settings name a trace file. */
  #createObserver(self: Announcement) {
    const { trace, backend } = this.#settings;
    if (trace === undefined) {
      return {};
    }
    const recorder = this.#disposables.use(
      new TraceRecorder(trace.file, {
        format: "basilpin-trace",
        version: TRACE_VERSION,
        role: "node",
        self,
        backendAddress: backend.address,
      }),
    );
    return {
      observe: (event: NodeEvent, atMs: number) =>
        recorder.record({ atMs, event }),
    };
  }

  /** Polls the platform's health and load endpoints that the settings name. */
  #startHintPolling(): void {
    const { address, health_path, load_path } = this.#settings.backend;
    if (!hasHintEndpoints(this.#settings)) {
      return;
    }
    const poller = this.#disposables.use(
      new HintPoller({
        address,
        healthPath: health_path,
        loadPath: load_path,
        onHint: (hint) => this.#loop.dispatch(hint),
      }),
    );
    poller.start();
  }

  #createCallServer(dispatch: (event: NodeEvent) => void): CallServer {
    const { listen, backend } = this.#settings;
    const hintConnections = hasHintEndpoints(this.#settings)
      ? MAX_HINT_CONNECTIONS
      : 0;
    return new CallServer({
      loop: this.#loopWatch,
      recordConnection: () => {
        this.#loopWatch.recordAccepted();
        this.#firstRequests.recordAccepted();
      },
      firstRequests: this.#firstRequests,
      listeners: {
        edge: parseAddress(listen.edge)!,
        egress: parseAddress(listen.egress)!,
        ingress: parseAddress(listen.ingress)!,
      },
      dispatch,
      connections: Math.max(1, backend.connections - hintConnections),
      tls: this.#security.tls,
      isEdgeTls: this.#security.isEdgeTls,
      clock: this.#telemetry.clock,
    });
  }

  #createControlLink(): LinkClient<ControlMessage, NodeMessage> {
    return new LinkClient<ControlMessage, NodeMessage>({
      id: this.#settings.id,
      tls: this.#security.tls,
      replicas: this.#settings.control.replicas,
      onMessage: (message) => this.#receive(message),
      onOpen: (replica, linkNumber) => {
        this.#linkedReplica = replica;
        this.#linkNumber = linkNumber;
        this.#registerWithReplica();
      },
      onClose: () => {
        this.#linkedReplica = undefined;
      },
      readConfirmed: (message) =>
        "isConfirmed" in message ? message.isConfirmed : undefined,
      createHeartbeat: () => this.#createHeartbeat(),
      clock: this.#telemetry.clock,
    });
  }

  #createHeartbeat() {
    return {
      type: "Heartbeat",
      tableVersion: this.#loop.state.table.version,
    } as const;
  }

  /** Sends the announcement and all subscriptions to a newly linked replica. */
  #registerWithReplica(): void {
    const { self, subscriptions } = this.#loop.state;
    this.#announce(self);
    for (const service of subscriptions.keys()) {
      this.#controlLink.send({ type: "Subscribe", service });
    }
  }

  #announce(announcement: Announcement): void {
    this.#controlLink.send({
      type: "Announce",
      announcement,
      linkNumber: this.#linkNumber,
      tableVersion: this.#loop.state.table.version,
    });
  }

  #receive(message: ControlMessage): void {
    if (message.type === "HeartbeatAnswer") {
      return;
    }
    const { state } = this.#loop;
    const { events, reply } = readControlMessage(message, {
      table: state.table,
      isServiceKnown: (service) => isServiceKnown(state.routing, service),
    });
    for (const event of events) {
      this.#loop.dispatch(event);
    }
    if (reply !== undefined) {
      this.#controlLink.send(reply);
    }
  }

  #createOperatorServer(): OperatorServer {
    const { timeline, metrics } = this.#telemetry;
    const routes = new Map<string, OperatorRoute>([
      ["GET /livez", () => ({ status: 200, body: { isAlive: true } })],
      ["GET /readyz", () => answerReadiness(this.#loop.state)],
      ["GET /status", () => ({
        status: 200,
        body: createNodeStatus(this.#loop.state, this.#linkedReplica),
      })],
      ["GET /timeline", () => ({ status: 200, body: timeline.list() })],
      ["POST /drain", () => {
        this.#loop.dispatch({ type: "DrainRequested" });
        return { status: 202, body: { isDraining: true } };
      }],
    ]);
    return new OperatorServer({
      address: parseAddress(this.#settings.listen.operator)!,
      security: this.#security,
      routes,
      answerScrape: (request, response) =>
        metrics.answerScrape(request, response),
    });
  }
}

function hasHintEndpoints({ backend }: NodeSettings): boolean {
  return backend.health_path !== undefined || backend.load_path !== undefined;
}

function createAnnouncement(settings: NodeSettings): Announcement {
  return {
    nodeId: settings.id,
    incarnation: Date.now(),
    sequence: 0,
    service: settings.service,
    dataCentre: settings.data_centre,
    region: settings.region,
    vm: settings.vm,
    ingress: settings.advertise?.ingress ?? settings.listen.ingress,
    operator: settings.listen.operator,
    slots: settings.backend.slots,
    connections: settings.backend.connections,
    isDraining: false,
  };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await waitMs(POLL_INTERVAL_MS);
  }
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
