/** The node role: the loop of one node, wired to its listeners. */
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
  HINT_CONNECTIONS,
  HintPoller,
} from "../engine/routing/node/hint_poller.ts";
import { PeerClient } from "../engine/peer/node/peer_client.ts";
import { TRACE_VERSION } from "../engine/trace/common/trace_format.ts";
import { TraceRecorder } from "../engine/trace/node/trace_recorder.ts";
import { OperatorServer } from "./operator_server.ts";
import {
  answerReady,
  createNodeStatus,
  registerNodeGauges,
} from "./node_report.ts";
import type { OperatorRoute } from "./operator_server.ts";
import { reportSecurity } from "./security.ts";
import type { Security } from "./security.ts";
import type { NodeSettings } from "./settings.ts";
import { Telemetry } from "./telemetry.ts";
import { TimerSet } from "./timer_set.ts";

/** How long a drain waits for subscribers to hear of it. */
const DRAIN_SPREAD_MS = 1_000;
const IDLE_POLL_MS = 20;

/** A running node. */
export class NodeDaemon implements AsyncDisposable {
  readonly #settings: NodeSettings;
  readonly #security: Security;
  readonly #owned = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #loop: EventLoop<NodeState, NodeEvent, NodeEffect>;
  readonly #watch = new LoopWatch({
    readClock: readSteadyMs,
    periodMs: TICK_MS,
  });
  readonly #firstRequests = new FirstRequests(readSteadyMs);
  readonly #calls: CallServer;
  readonly #link: LinkClient<ControlMessage, NodeMessage>;
  readonly #timers: TimerSet;
  readonly #peers: PeerClient;
  readonly #operator: OperatorServer;
  #replica: string | undefined;
  #linkNumber = 0;

  constructor(settings: NodeSettings, security: Security) {
    this.#settings = settings;
    this.#security = security;
    this.#telemetry = this.#owned.use(new Telemetry(settings));
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
    this.#timers = this.#owned.use(
      new TimerSet((key) => dispatch({ type: "TimerFired", key })),
    );
    this.#calls = this.#owned.use(this.#createCalls(dispatch));
    this.#peers = this.#owned.use(
      new PeerClient({ tls: security.tls, clock: this.#telemetry.clock }),
    );
    this.#link = this.#owned.use(this.#createLink());
    this.#operator = this.#owned.use(this.#createOperator());
    registerNodeGauges(this.#telemetry.metrics, () => this.#loop.state);
  }

  /** Opens the listeners and starts to announce. */
  async open(): Promise<void> {
    await this.#calls.open();
    await this.#operator.open();
    this.#link.open();
    const tick = setInterval(() => {
      this.#watch.tick();
      this.#loop.dispatch({ type: "Ticked" });
    }, TICK_MS);
    this.#owned.defer(() => clearInterval(tick));
    this.#startHints();
    this.#telemetry.record({ type: "ProcessStarted", role: "node" });
  }

  /**
   * Takes no new work and resolves when all calls are finished. The calls of
   * the local backend server end first: until then callers and it are served
   * as ever. The listeners close after them.
   */
  async drain(): Promise<void> {
    this.#loop.dispatch({ type: "DrainRequested" });
    await waitMs(DRAIN_SPREAD_MS);
    await waitUntil(() => this.#loop.state.served.size === 0);
    this.#link.send({ type: "Leave" });
    this.#calls.close();
    await waitUntil(() =>
      isIdle(this.#loop.state) && this.#calls.openCount === 0
    );
    this.#telemetry.record({ type: "DrainEnded" });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#owned[Symbol.asyncDispose]();
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
        this.#link.send({ type: "Subscribe", service: effect.service });
        return;
      case "UnsubscribeService":
        this.#link.send({ type: "Unsubscribe", service: effect.service });
        return;
      case "SendAnnouncement":
        if (effect.announcement.isDraining) {
          this.#calls.drain();
        }
        this.#announce(effect.announcement);
        return;
      case "AskPeer":
        this.#askPeer(effect);
        return;
      case "ReportCopied":
        this.#link.send(effect);
        return;
      case "ConfirmTable":
        this.#link.send(this.#createHeartbeat());
        return;
      case "RecordEvent":
        this.#telemetry.record(effect.event);
        return;
      default:
        this.#calls.perform(effect);
    }
  }

  #askPeer(effect: Extract<NodeEffect, { type: "AskPeer" }>): void {
    const { requestId } = effect;
    const isOwn = effect.address === this.#loop.state.self.ingress &&
      !effect.isFresh;
    const asked = isOwn
      ? this.#calls.ask(effect.message)
      : this.#peers.send(effect);
    asked.then((reply) => {
      this.#loop.dispatch({ type: "PeerReplied", requestId, reply });
    });
  }

  /** Records the events where the settings ask for it. */
  #createObserver(self: Announcement) {
    const { trace, backend } = this.#settings;
    if (trace === undefined) {
      return {};
    }
    const recorder = this.#owned.use(
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

  /** The platform's endpoints are asked where the settings name them. */
  #startHints(): void {
    const { address, health_path, load_path } = this.#settings.backend;
    if (!hasHints(this.#settings)) {
      return;
    }
    const poller = this.#owned.use(
      new HintPoller({
        address,
        healthPath: health_path,
        loadPath: load_path,
        onHint: (hint) => this.#loop.dispatch(hint),
      }),
    );
    poller.start();
  }

  #createCalls(dispatch: (event: NodeEvent) => void): CallServer {
    const { listen, backend } = this.#settings;
    const hintConnections = hasHints(this.#settings) ? HINT_CONNECTIONS : 0;
    return new CallServer({
      loop: this.#watch,
      recordConnection: () => {
        this.#watch.recordAccepted();
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

  #createLink(): LinkClient<ControlMessage, NodeMessage> {
    return new LinkClient<ControlMessage, NodeMessage>({
      id: this.#settings.id,
      tls: this.#security.tls,
      replicas: this.#settings.control.replicas,
      onMessage: (message) => this.#receive(message),
      onOpen: (replica, linkNumber) => {
        this.#replica = replica;
        this.#linkNumber = linkNumber;
        this.#introduce();
      },
      onClose: () => {
        this.#replica = undefined;
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

  /** Tells a replica that is newly linked all that it has to know. */
  #introduce(): void {
    const { self, subscriptions } = this.#loop.state;
    this.#announce(self);
    for (const service of subscriptions.keys()) {
      this.#link.send({ type: "Subscribe", service });
    }
  }

  #announce(announcement: Announcement): void {
    this.#link.send({
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
      this.#link.send(reply);
    }
  }

  #createOperator(): OperatorServer {
    const { timeline, metrics } = this.#telemetry;
    const routes = new Map<string, OperatorRoute>([
      ["GET /livez", () => ({ status: 200, body: { isAlive: true } })],
      ["GET /readyz", () => answerReady(this.#loop.state)],
      ["GET /status", () => ({
        status: 200,
        body: createNodeStatus(this.#loop.state, this.#replica),
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

function hasHints({ backend }: NodeSettings): boolean {
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
    await waitMs(IDLE_POLL_MS);
  }
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
