/** The control role: the loop of one replica, wired to its listeners. */
import { DisposalStack } from "../base/common/disposal.ts";
import { EventLoop } from "../base/node/event_loop.ts";
import { parseAddress } from "../base/node/listen.ts";
import { reduceControl } from "../platform/control/common/control_reducer.ts";
import { createControl } from "../platform/control/common/control_state.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlState,
} from "../platform/control/common/control_state.ts";
import { createControlReport } from "../platform/control/common/control_report.ts";
import { isPresenceMessage } from "../platform/link/common/link_messages.ts";
import type {
  InboundMessage,
  OutboundMessage,
} from "../platform/link/common/link_messages.ts";
import { ReplicaLinks } from "../platform/link/node/replica_links.ts";
import { LinkServer } from "../platform/link/node/link_server.ts";
import type { EditOutcome } from "../platform/table/common/table_reducer.ts";
import { parseEditBody } from "./edit_body.ts";
import { OperatorServer } from "./operator_server.ts";
import type {
  OperatorAnswer,
  OperatorRequest,
  OperatorRoute,
} from "./operator_server.ts";
import type { ControlSettings } from "./settings.ts";
import { Telemetry } from "./telemetry.ts";

const TICK_MS = 250;

/** A running control replica. */
export class ControlDaemon implements AsyncDisposable {
  readonly #settings: ControlSettings;
  readonly #owned = new DisposalStack();
  readonly #telemetry: Telemetry;
  readonly #loop: EventLoop<ControlState, ControlEvent, ControlEffect>;
  readonly #links: LinkServer;
  readonly #replicas: ReplicaLinks;
  readonly #operator: OperatorServer;
  readonly #edits = new Map<number, (outcome: EditOutcome) => void>();
  #nextEdit = 1;

  constructor(settings: ControlSettings) {
    this.#settings = settings;
    this.#telemetry = this.#owned.use(new Telemetry(settings));
    this.#loop = new EventLoop({
      initial: createControl(settings.id, Date.now()),
      reduce: reduceControl,
      readClock: Date.now,
      perform: (effect) => this.#perform(effect),
    });
    this.#links = this.#owned.use(this.#createLinks());
    this.#replicas = this.#owned.use(this.#createReplicas());
    this.#operator = this.#owned.use(this.#createOperator());
    this.#telemetry.metrics.createGauge(
      "table_version",
      "Version of the table",
      () => this.#loop.state.tableState.table.version,
    );
    this.#telemetry.metrics.createGauge(
      "members",
      "Nodes whose lease runs",
      () => this.#loop.state.membership.members.size,
    );
  }

  /** Opens the listeners. */
  async open(): Promise<void> {
    await this.#links.open();
    await this.#operator.open();
    this.#replicas.open();
    const tick = setInterval(
      () => this.#loop.dispatch({ type: "Ticked" }),
      TICK_MS,
    );
    this.#owned.defer(() => clearInterval(tick));
    this.#telemetry.record({ type: "ProcessStarted", role: "control" });
  }

  /** Nothing is in progress that could be cut. */
  async drain(): Promise<void> {}

  async [Symbol.asyncDispose](): Promise<void> {
    this.#telemetry.record({ type: "ProcessStopped" });
    await this.#owned[Symbol.asyncDispose]();
  }

  #perform(effect: ControlEffect): void {
    switch (effect.type) {
      case "SendToLink":
        this.#links.send(effect.linkId, effect.message);
        return;
      case "SendToReplicas":
        this.#replicas.sendAll(effect.message);
        return;
      case "SendToReplica":
        this.#replicas.send(effect.replica, effect.message);
        return;
      case "AnswerEdit":
        this.#edits.get(effect.requestId)?.(effect.outcome);
        this.#edits.delete(effect.requestId);
        return;
      case "RecordEvent":
        this.#telemetry.record(effect.event);
        return;
    }
  }

  #createLinks(): LinkServer {
    return new LinkServer({
      address: parseAddress(this.#settings.listen.link)!,
      onMessage: (linkId, message) => this.#receive(linkId, message),
      onClose: (linkId) => this.#loop.dispatch({ type: "LinkClosed", linkId }),
    });
  }

  #receive(linkId: number, message: InboundMessage): void {
    if (isPresenceMessage(message)) {
      const channel = { type: "Accepted", linkId } as const;
      this.#loop.dispatch({ type: "PresenceReceived", channel, message });
      return;
    }
    if (message.type === "Heartbeat") {
      this.#telemetry.timeline.observeClock(message.clock);
    }
    this.#loop.dispatch({ type: "NodeMessageReceived", linkId, message });
  }

  #createReplicas(): ReplicaLinks {
    return new ReplicaLinks({
      id: this.#settings.id,
      replicas: this.#settings.presence_peers,
      onMessage: (message, replica) => this.#receiveReply(message, replica),
    });
  }

  #receiveReply(message: OutboundMessage, replica: string): void {
    if (message.type === "HeartbeatAnswer") {
      this.#telemetry.timeline.observeClock(message.clock);
    } else if (isPresenceMessage(message)) {
      const channel = { type: "Dialled", replica } as const;
      this.#loop.dispatch({ type: "PresenceReceived", channel, message });
    }
  }

  #createOperator(): OperatorServer {
    const { timeline, metrics } = this.#telemetry;
    const routes = new Map<string, OperatorRoute>([
      ["GET /livez", () => ({ status: 200, body: { isAlive: true } })],
      ["GET /readyz", () => ({ status: 200, body: { isReady: true } })],
      ["GET /status", () => ({ status: 200, body: this.#createStatus() })],
      ["GET /timeline", () => ({ status: 200, body: timeline.list() })],
      ["GET /table", () => ({
        status: 200,
        body: this.#loop.state.tableState.table,
      })],
      ["GET /table/history", () => ({
        status: 200,
        body: this.#loop.state.tableState.history,
      })],
      ["POST /table/edits", (request) => this.#takeEdit(request)],
      ["POST /drain", (request) => this.#orderDrain(request)],
    ]);
    return new OperatorServer({
      address: parseAddress(this.#settings.listen.operator)!,
      routes,
      answerScrape: (request, response) =>
        metrics.answerScrape(request, response),
    });
  }

  #takeEdit(request: OperatorRequest): Promise<OperatorAnswer> {
    return parseEditBody(request.body).match(
      async ({ editId, change }) => {
        const { operator } = request;
        const edit = { editId, operator, atMs: Date.now(), change };
        const outcome = await this.#requestEdit(edit);
        const status = outcome.type === "EditConflicted" ? 409 : 200;
        return { status, body: outcome };
      },
      (message) => Promise.resolve({ status: 400, body: { message } }),
    );
  }

  #requestEdit(
    edit: Extract<ControlEvent, { type: "EditRequested" }>["edit"],
  ): Promise<EditOutcome> {
    const requestId = this.#nextEdit++;
    return new Promise((resolve) => {
      this.#edits.set(requestId, resolve);
      this.#loop.dispatch({ type: "EditRequested", requestId, edit });
    });
  }

  #orderDrain(request: OperatorRequest): OperatorAnswer {
    const nodeId = request.query.get("node") ?? "";
    const { members } = this.#loop.state.membership;
    if (!members.has(nodeId)) {
      const message = `No node ${JSON.stringify(nodeId)}; see basilpin status`;
      return { status: 404, body: { message } };
    }
    this.#loop.dispatch({ type: "DrainOrdered", nodeId });
    return { status: 202, body: { nodeId, isDraining: true } };
  }

  #createStatus() {
    return {
      role: "control",
      id: this.#settings.id,
      dataCentre: this.#settings.data_centre,
      ...createControlReport(this.#loop.state, Date.now()),
    };
  }
}
