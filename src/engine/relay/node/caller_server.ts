/** The HTTP listener for callers on this VM, the backend server among them. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import { listen } from "../../../base/node/listen.ts";
import type { ListenAddress } from "../../../base/node/listen.ts";
import type { Route, RouteTable } from "../../routes/common/route_table.ts";
import type { Workspace } from "../../workspaces/common/workspace.ts";
import type {
  EntryCheck,
  EntryRefusal,
  WorkspaceCheck,
} from "../../workspaces/common/workspace_check.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import type { RelayLog } from "../common/relay_log.ts";
import { HeldBytes } from "../common/held_bytes.ts";
import { RouteWaiters } from "../common/route_waiters.ts";
import { RoutesInForce } from "../common/routes_in_force.ts";
import { readBody } from "./body_reader.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { Exchange } from "./caller_connection.ts";
import { CallerReplies, DEFAULT_PATIENCE_MS } from "./caller_replies.ts";

/** Starts a call and returns what withdraws it. */
export type StartCall = (
  request: EntryRequest,
  service: string,
  onResult: (result: EntryResult) => void,
) => () => void;

/** What the listener is built from. */
export interface CallerServerOptions {
  readonly address: ListenAddress;
  readonly dialect: CallDialect;
  readonly startCall: StartCall;
  readonly workspaces: WorkspaceCheck;
  /** Asks for a proof that the keys known here are those in force. */
  readonly askProof: () => void;
  /** Notes a call; tells whether a run of the local backend server made it. */
  readonly observeCall: (call: {
    readonly route: string;
    readonly service: string;
  }) => Pick<EntryRequest, "isNested" | "repeatShare">;
  /** Service whose backend server runs on this VM. */
  readonly getCallerService: () => string;
  /** A connection was accepted; more may wait in the listener's queue. */
  readonly noteConnection: () => void;
  readonly firstRequests: FirstRequestQueue;
  readonly readClock: () => number;
  readonly draw: () => number;
  readonly log: RelayLog;
}

/** When callers come back to a node that has yet to be told what is in force. */
const EARLY_RETRY_MS = 300;
const MEMORY_RETRY_MS = 500;
/**
 * Bytes of requests held at a time, those still being read included; more are
 * refused. With as much at the gate, a seventh of a process's 350 MB each.
 */
const MAX_HELD_BYTES = 50_331_648;
/** Larger than any header that a table allows; the table's limit is checked. */
const MAX_HEADER_BYTES = 131_072;

/** A request whose body has been read. */
interface WholeRequest {
  readonly body: Uint8Array;
  readonly workspace: Workspace | undefined;
}

/** What the log says of a request that doesn't go on. */
const REFUSAL_REASONS: Readonly<Record<EntryRefusal["type"], string>> = {
  UnknownKey: "unknown key",
  OverLimit: "over limit",
  LeaseLapsed: "lease on keys lapsed",
};

/** Takes requests, finds their routes, and gives callers their answers. */
export class CallerServer implements AsyncDisposable {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #replies: CallerReplies;
  readonly #connections = new Map<Duplex, CallerConnection>();
  readonly #routes = new RoutesInForce();
  #isDraining = false;
  #open = 0;
  readonly #held = new HeldBytes(MAX_HELD_BYTES);
  readonly #waiters = new RouteWaiters<Exchange>();
  /** Requests whose key, or room under its limit, control has yet to say. */
  readonly #unsure = new RouteWaiters<Exchange>();

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#replies = new CallerReplies({
      ...options,
      closeIfLast: (exchange) =>
        this.#isDraining &&
        this.#getConnection(exchange.request.socket).closeIfLast(exchange),
    });
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 },
      (request, response) => this.#accept(request, response),
    );
    this.#server.on("connection", options.noteConnection);
    this.#server.on("clientError", (_error, socket) => this.#refuse(socket));
  }

  /** Requests without a final answer. */
  get openCount(): number {
    return this.#open;
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#server, this.#options.address);
  }

  /** Puts other routes in force. */
  replaceRoutes(routes: RouteTable): void {
    this.#routes.replace(routes);
    const { headerTimeoutMs, idleTimeoutMs } = routes.limits;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
    this.#waiters.takeAll().forEach((exchange) => this.#resume(exchange));
  }

  /** Looks again at requests that wait for a word of control. */
  resumeUnsure(): void {
    this.#unsure.takeAll().forEach((exchange) => this.#resume(exchange));
  }

  /** Gives up requests that have waited as long as they may. */
  tick(): void {
    const nowMs = this.#options.readClock();
    this.#waiters.takeLate(nowMs)
      .forEach((exchange) => this.#refuseEarly(exchange, "no routes yet"));
    this.#unsure.takeLate(nowMs)
      .forEach((exchange) => this.#refuseEarly(exchange, "not told in time"));
    if (!this.#unsure.isEmpty) {
      // What was asked for last may have come too early to answer them.
      this.#options.askProof();
    }
  }

  /** Asks callers to leave with each answer. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Takes no more connections; those in use end with their answers. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
    this.#connections.forEach((connection) => connection.stopTaking());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#getConnection(request.socket);
    if (connection.isClosing) {
      // Behind an answer that closes: the caller knows it as not read.
      return;
    }
    this.#open += 1;
    const exchange: Exchange = {
      request,
      response,
      arrivedAtMs: this.#options.readClock(),
      queuedMs: connection.isRead ? 0 : this.#options.firstRequests.queuedMs,
      cleanUps: [() => this.#open -= 1],
      isGone: false,
    };
    connection.take(exchange);
  }

  #getConnection(socket: Socket): CallerConnection {
    const found = this.#connections.get(socket);
    if (found !== undefined) {
      return found;
    }
    const connection = new CallerConnection(socket, {
      start: (exchange) => this.#resume(exchange),
      firstRequests: this.#options.firstRequests,
    });
    this.#connections.set(socket, connection);
    socket.on("close", () => this.#connections.delete(socket));
    return connection;
  }

  /**
   * Bytes that are no request. Requests before them are answered first: a 400
   * at once would be taken for the answer to one of these.
   */
  #refuse(socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.isIdle) {
      socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
    } else {
      connection.stopTaking();
    }
  }

  #resume(exchange: Exchange): void {
    if (!exchange.isGone) {
      this.#take(exchange).catch((error) => this.#breakOff(exchange, error));
    }
  }

  /** An unexpected error must not end the process, and all calls in it. */
  #breakOff(exchange: Exchange, error: unknown): void {
    const errorName = error instanceof Error ? error.name : typeof error;
    this.#logRefused(exchange, "unexpected error", { errorName });
    exchange.response.destroy();
  }

  #waitIn(
    waiters: RouteWaiters<Exchange>,
    exchange: Exchange,
    reason: string,
  ): void {
    const { request, arrivedAtMs } = exchange;
    const { patienceMs = DEFAULT_PATIENCE_MS } = this.#options.dialect
      .readTerms(request.headers);
    if (!waiters.add(exchange, { arrivedAtMs, patienceMs })) {
      this.#refuseEarly(exchange, reason);
    }
  }

  #refuseEarly(exchange: Exchange, reason: string): void {
    this.#logRefused(exchange, reason);
    this.#replies.replyLater(exchange, 503, EARLY_RETRY_MS);
  }

  #logRefused(
    exchange: Exchange,
    reason: string,
    inputs: Readonly<Record<string, unknown>> = {},
  ): void {
    const { dialect, readClock, log } = this.#options;
    log.write({
      event: "RequestRefused",
      isFailure: true,
      requestId: dialect.readTerms(exchange.request.headers).requestId,
      reason,
      routesVersion: this.#routes.version,
      ...inputs,
      elapsedMs: readClock() - exchange.arrivedAtMs,
    });
  }

  async #take(exchange: Exchange): Promise<void> {
    const { request } = exchange;
    if (!this.#routes.hasTable) {
      this.#waitIn(this.#waiters, exchange, "no routes yet");
      return;
    }
    const found = this.#routes.find(readTarget(request));
    if ("status" in found) {
      this.#replies.reply(exchange, found.status);
      return;
    }
    if (found.needsKey !== true) {
      await this.#readAndStart(exchange, found);
      return;
    }
    const { dialect, workspaces } = this.#options;
    const { key } = dialect.readTerms(request.headers);
    const checked = workspaces.check(key, exchange.arrivedAtMs);
    if (this.#hasEntered(exchange, checked)) {
      await this.#readAndStart(exchange, found, checked.workspace);
    }
  }

  async #readAndStart(
    exchange: Exchange,
    route: Route,
    workspace?: Workspace,
  ): Promise<void> {
    const body = await this.#readBody(exchange);
    if (body === undefined || exchange.isGone || exchange.response.destroyed) {
      return;
    }
    this.#getConnection(exchange.request.socket).runOnceRead(() => {
      try {
        this.#startWhole(exchange, route, { body, workspace });
      } catch (error) {
        this.#breakOff(exchange, error);
      }
    });
  }

  #startWhole(exchange: Exchange, route: Route, whole: WholeRequest): void {
    const { workspace } = whole;
    if (exchange.isGone) {
      this.#giveBack(workspace);
      return;
    }
    const mayStart = workspace === undefined || this.#hasEntered(
      exchange,
      this.#options.workspaces.recheckLease(workspace),
    );
    if (mayStart) {
      this.#start(exchange, route, whole);
    }
  }

  /** A request that ran nowhere doesn't count against a limit. */
  #giveBack(workspace: Workspace | undefined): void {
    if (workspace !== undefined) {
      this.#options.workspaces.recordNotRun(workspace);
    }
  }

  /** Whether a request goes on; else it waits, or is answered. */
  #hasEntered(
    exchange: Exchange,
    checked: EntryCheck,
  ): checked is Extract<EntryCheck, { type: "Entered" }> {
    switch (checked.type) {
      case "Entered":
        return true;
      case "Waiting":
        this.#options.askProof();
        this.#waitIn(this.#unsure, exchange, checked.reason);
        return false;
      case "Refused":
        this.#refuseEntry(exchange, checked.refusal);
        return false;
    }
  }

  #refuseEntry(exchange: Exchange, refusal: EntryRefusal): void {
    const { type, ...inputs } = refusal;
    this.#logRefused(exchange, REFUSAL_REASONS[type], inputs);
    switch (refusal.type) {
      case "UnknownKey":
        this.#replies.reply(exchange, 401);
        return;
      case "OverLimit":
        this.#replies.replyLater(exchange, 429, refusal.retryAfterMs);
        return;
      case "LeaseLapsed":
        this.#options.askProof();
        this.#replies.replyLater(exchange, 503, refusal.retryAfterMs);
        return;
    }
  }

  async #readBody(exchange: Exchange): Promise<Uint8Array | undefined> {
    const hold = this.#held.open();
    exchange.cleanUps.push(hold.release);
    const read = await readBody(exchange.request, {
      maxBytes: this.#routes.limits!.maxBodyBytes,
      hold: hold.add,
    });
    switch (read.type) {
      case "Whole":
        return read.body;
      case "TooLarge":
        this.#replies.reply(exchange, 413);
        return undefined;
      case "NoRoom":
        this.#replies.replyLater(exchange, 503, MEMORY_RETRY_MS);
        return undefined;
      case "Broken":
        return undefined;
    }
  }

  #start(
    exchange: Exchange,
    route: Route,
    { body, workspace }: WholeRequest,
  ): void {
    const { request, arrivedAtMs } = exchange;
    const { dialect, getCallerService, readClock, startCall } = this.#options;
    const { requestId, patienceMs = DEFAULT_PATIENCE_MS } = dialect
      .readTerms(request.headers);
    if (requestId === undefined) {
      this.#replies.reply(exchange, 400);
      return;
    }
    const deadlineMs = arrivedAtMs + Math.min(route.timeoutMs, patienceMs);
    if (readClock() >= deadlineMs) {
      this.#giveBack(workspace);
      this.#refuseEarly(exchange, "time limit");
      return;
    }
    const service = this.#routes.chooseService(route);
    const origin = this.#options.observeCall({ route: route.name, service });
    const entry: EntryRequest = {
      requestId,
      route,
      method: request.method!,
      target: request.url!,
      headers: dialect.createCallHeaders(
        request.rawHeaders,
        { service: getCallerService(), workspace: workspace?.name },
      ),
      body,
      arrivedAtMs,
      deadlineMs,
      queuedMs: exchange.queuedMs,
      ...origin,
      rank: this.#routes.computeRank(route, workspace),
    };
    let isDone = false;
    const withdraw = startCall(entry, service, (result) => {
      isDone = true;
      if (hasNotRun(result)) {
        this.#giveBack(workspace);
      }
      this.#replies.finish(exchange, result);
    });
    exchange.cleanUps.push(() => {
      if (!isDone) {
        withdraw();
      }
    });
  }
}

function hasNotRun(result: EntryResult): boolean {
  return result.type === "Failed" && result.failure.type === "Refused";
}

function readTarget({ headers, url, rawHeaders }: IncomingMessage) {
  const headerBytes = rawHeaders
    .reduce((sum, part) => sum + part.length + 2, 0);
  return { host: headers.host ?? "", target: url ?? "/", headerBytes };
}
