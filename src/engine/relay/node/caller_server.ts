/**
 * HTTP listener for the callers on this VM, among them the backend server that
 * makes nested calls.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import { closeAfter, readBody } from "../../../base/node/body_reader.ts";
import { listen } from "../../../base/node/listen.ts";
import {
  closeListener,
  waitForTurn,
} from "../../../base/node/listener_close.ts";
import type { ListenAddress } from "../../../base/node/listen.ts";
import { DEFAULT_LIMITS } from "../../routes/common/route_table.ts";
import type {
  RequestLimits,
  Route,
  RouteTable,
} from "../../routes/common/route_table.ts";
import type { Workspace } from "../../workspaces/common/workspace.ts";
import type {
  EntryCheck,
  EntryRefusal,
  WorkspaceCheck,
} from "../../workspaces/common/workspace_check.ts";
import type { CallDialect } from "../common/dialect.ts";
import {
  computeFirstRequestWaitMs,
  decideHandover,
} from "../common/drain_decision.ts";
import type { DrainTimes } from "../common/drain_decision.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import type { MemoryShares } from "../common/memory_shares.ts";
import type { RelayLog } from "../common/relay_log.ts";
import { BufferedBytes } from "../common/held_bytes.ts";
import {
  computeParserLimit,
  getMalformedStatus,
} from "../common/parser_limits.ts";
import { resolveTarget } from "../common/request_target.ts";
import type { RequestLine } from "../common/request_target.ts";
import { RouteWaiters } from "../common/route_waiters.ts";
import { RoutesInForce } from "../common/routes_in_force.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { Exchange } from "./caller_connection.ts";
import { CallerReplies, DEFAULT_CALLER_TIMEOUT_MS } from "./caller_replies.ts";
import { OverdueConnections } from "./overdue_connections.ts";

/** Starts a call to a service; the function returned withdraws it. */
export type StartCall = (
  request: EntryRequest,
  service: string,
  onResult: (result: EntryResult) => void,
) => () => void;

/** What the listener depends on. */
export interface CallerServerOptions {
  /** Limits on the bytes that are held. */
  readonly memory: MemoryShares;
  readonly address: ListenAddress;
  readonly dialect: CallDialect;
  readonly startCall: StartCall;
  readonly workspaces: WorkspaceCheck;
  /**
   * Asks the control replicas for a proof that the workspace keys held here are
   * the current ones.
   */
  readonly requestProof: () => void;
  /**
   * Records a call; returns whether a run of the local backend server made it,
   * and how likely that run is a repeat.
   */
  readonly observeCall: (call: {
    readonly route: string;
    readonly service: string;
  }) => Pick<EntryRequest, "isNested" | "repeatShare">;
  /** Returns the service whose backend server runs on this VM. */
  readonly getCallerService: () => string;
  /** Called when a connection was accepted; more may be in the accept queue. */
  readonly recordConnection: () => void;
  readonly firstRequests: FirstRequestQueue;
  /** Returns the times of the drain; undefined unless the node drains. */
  readonly getDrainTimes: () => DrainTimes | undefined;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns a random number from 0 to 1. */
  readonly draw: () => number;
  readonly log: RelayLog;
}

/** Retry time while the node has no routes, or no current proof of keys. */
const NOT_READY_RETRY_MS = 300;
const CLOSE_POLL_MS = 10;
/** Retry time when the memory for request bodies is used up. */
const MEMORY_RETRY_MS = 500;

/** A request whose body has been read completely. */
interface ReceivedRequest {
  readonly body: Uint8Array;
  /** Undefined if the route needs no key. */
  readonly workspace: Workspace | undefined;
}

/** The result of a call that may have run. */
const UNKNOWN: EntryResult = { type: "Failed", failure: { type: "Unknown" } };

/** Reasons in the log lines of refused requests. */
const REFUSAL_REASONS: Readonly<Record<EntryRefusal["type"], string>> = {
  UnknownKey: "unknown key",
  OverLimit: "over limit",
  LeaseLapsed: "lease on keys lapsed",
};

/** Accepts requests, finds their routes, starts their calls and answers them. */
export class CallerServer implements AsyncDisposable {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #replies: CallerReplies;
  readonly #connections = new Map<Duplex, CallerConnection>();
  readonly #routes: RoutesInForce;
  readonly #overdue: OverdueConnections;
  #isDraining = false;
  #openCount = 0;
  readonly #bufferedBytes: BufferedBytes;
  readonly #routeWaiters = new RouteWaiters<Exchange>();
  /** Requests that wait for a proof of their key, or for their rate limit. */
  readonly #proofWaiters = new RouteWaiters<Exchange>();

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#bufferedBytes = new BufferedBytes(options.memory.requestBodies);
    this.#routes = new RoutesInForce(options.draw);
    this.#overdue = new OverdueConnections({
      listOpen: () => this.#listOpen(),
      getLimits: () => this.#getLimits(),
      onLateHead: () =>
        options.log.write({
          event: "RequestRefused",
          isFailure: true,
          reason: "head not complete in time",
          routesVersion: this.#routes.version,
          limitMs: this.#getLimits().headerTimeoutMs,
        }),
    });
    this.#replies = new CallerReplies({
      ...options,
      getIdleTimeoutMs: () => this.#getLimits().idleTimeoutMs,
      isDraining: () => this.#isDraining,
      closeIfLast: (exchange) =>
        this.#isDraining &&
        this.#getConnection(exchange.request.socket)
            ?.closeIfLast(exchange) === true,
    });
    this.#server = createServer(
      {
        maxHeaderSize: computeParserLimit(DEFAULT_LIMITS),
        requestTimeout: 0,
        headersTimeout: 0,
        keepAliveTimeout: 0,
      },
      (request, response) => this.#acceptRequest(request, response, false),
    );
    // Node would drop header lines beyond a number of them; their size is limited.
    this.#server.maxHeadersCount = 0;
    this.#server.on(
      "checkContinue",
      (request: IncomingMessage, response: ServerResponse) =>
        this.#acceptRequest(request, response, true),
    );
    this.#server.on("connection", (socket) => this.#acceptConnection(socket));
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket) =>
        this.#rejectMalformed(socket, getMalformedStatus(error)),
    );
  }

  /** Number of requests without a final answer. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#server, this.#options.address);
  }

  /** Replaces the routes in force, and resumes requests that wait for routes. */
  replaceRoutes(routes: RouteTable): void {
    this.#routes.replace(routes);
    // Read by Node for each new connection; missing in its type.
    Object.assign(this.#server, {
      maxHeaderSize: computeParserLimit(routes.limits),
    });
    this.#routeWaiters.takeAll().forEach((exchange) => this.#resume(exchange));
  }

  /** Rechecks the requests that wait for the control replicas. */
  resumeProofWaiters(): void {
    this.#proofWaiters.takeAll().forEach((exchange) => this.#resume(exchange));
  }

  /**
   * Refuses the requests whose wait limit has passed, and closes connections
   * that exceed the limits of the table in force.
   */
  tick(): void {
    const nowMs = this.#options.readClock();
    this.#overdue.tick(nowMs);
    this.#routeWaiters.takeExpired(nowMs)
      .forEach((exchange) => this.#refuseEarly(exchange, "no routes yet"));
    this.#proofWaiters.takeExpired(nowMs)
      .forEach((exchange) => this.#refuseEarly(exchange, "not told in time"));
    if (!this.#proofWaiters.isEmpty) {
      // The last proof may have been requested before these requests arrived.
      this.#options.requestProof();
    }
  }

  /**
   * Whether every request has its answer, and no part of another one has been
   * received.
   */
  get isAtRest(): boolean {
    return this.#openCount === 0 &&
      !this.#listOpen().some((connection) => connection.hasPartialRequest);
  }

  /** Makes answers close their connections, so that callers go elsewhere. */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Accepts no more connections, and resolves when all connections are told to
   * close once they are at rest: those with unanswered requests, or a part of
   * one, after their answers, the others at once, except that a new one has a
   * short time for its first request.
   */
  async close(): Promise<void> {
    await closeListener(this.#server);
    this.#closeConnections((connection) => this.#getWaitMs(connection) === 0);
    const waitMs = Array.from(
      this.#connections.values(),
      (connection) => this.#getWaitMs(connection),
    ).reduce((longest, one) => Math.max(longest, one), 0);
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
      // Requests that arrived in time are read before their connections close.
      await waitForTurn();
      this.#closeConnections(() => true);
    }
  }

  /** Refuses the requests that have not been passed on, as the node ends. */
  refuseUnstarted(): void {
    const times = this.#options.getDrainTimes();
    const retryAfterMs = times === undefined
      ? NOT_READY_RETRY_MS
      : times.endMs - this.#options.readClock();
    [...this.#connections.values()].flatMap(({ exchanges }) => exchanges)
      .filter(({ isStarted, isAnswered }) => !isStarted && !isAnswered)
      .forEach((exchange) => this.#refuseDraining(exchange, retryAfterMs));
  }

  /**
   * Answers the requests ahead of an answer that waits for its turn on their
   * connection as unknown: the answer would be lost when the node ends.
   */
  releaseHeldAnswers(): void {
    for (const { exchanges } of this.#connections.values()) {
      const last = exchanges.findLastIndex(({ isAnswered }) => isAnswered);
      exchanges.slice(0, Math.max(0, last))
        .filter(({ isAnswered }) => !isAnswered)
        .forEach((exchange) => this.#replies.finish(exchange, UNKNOWN));
    }
  }

  /** Resolves when all connections are closed, or after `maxMs`. */
  async waitForClose(maxMs: number): Promise<void> {
    const endMs = this.#options.readClock() + maxMs;
    while (
      this.#connections.size > 0 && this.#options.readClock() < endMs
    ) {
      await new Promise((resolve) => setTimeout(resolve, CLOSE_POLL_MS));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #acceptRequest(
    request: IncomingMessage,
    response: ServerResponse,
    awaitsContinue: boolean,
  ): void {
    const connection = this.#getConnection(request.socket);
    if (connection === undefined || connection.isClosing) {
      // The connection is closed, or an earlier answer has announced its close:
      // the caller takes this request as unread.
      request.resume();
      return;
    }
    this.#openCount += 1;
    const exchange: Exchange = {
      request,
      response,
      arrivedAtMs: this.#options.readClock(),
      queuedMs: connection.hasReadBacklog
        ? 0
        : this.#options.firstRequests.queuedMs,
      cleanUps: [() => this.#openCount -= 1],
      isEnded: false,
      isStarted: false,
      isAnswered: false,
      awaitsContinue,
      releases: [],
      sendRest: () => {},
    };
    connection.receive(exchange);
  }

  #acceptConnection(socket: Socket): void {
    this.#options.recordConnection();
    const connection = new CallerConnection(socket, {
      start: (exchange) => this.#resume(exchange),
      firstRequests: this.#options.firstRequests,
      readClock: this.#options.readClock,
    });
    this.#connections.set(socket, connection);
    socket.on("close", () => this.#connections.delete(socket));
  }

  /** Returns the connection of a request; only a closed one is not known. */
  #getConnection(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket);
  }

  /** Returns the limits in force; defaults before the first table. */
  #getLimits(): RequestLimits {
    return this.#routes.limits ?? DEFAULT_LIMITS;
  }

  /** Lists the connections that take requests. */
  #listOpen(): readonly CallerConnection[] {
    return [...this.#connections.values()].filter(({ isClosing }) =>
      !isClosing
    );
  }

  #closeConnections(isChosen: (one: CallerConnection) => boolean): void {
    this.#listOpen().filter(isChosen)
      .forEach((connection) => connection.closeAtRest());
  }

  #getWaitMs(connection: CallerConnection): number {
    return computeFirstRequestWaitMs(connection, this.#options.readClock());
  }

  /**
   * Handles bytes that are not a valid request. Requests before them on the
   * connection are answered first, because the caller would take an immediate
   * 400 for the answer to one of those.
   */
  #rejectMalformed(socket: Duplex, status: 400 | 431): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      socket.destroy();
    } else if (socket.writableEnded) {
      // The caller sends on, and a reset would drop the answer.
    } else if (connection.isIdle) {
      connection.reject(status);
    } else {
      connection.closeWhenIdle();
    }
  }

  #resume(exchange: Exchange): void {
    if (!exchange.isEnded && !exchange.isAnswered) {
      this.#process(exchange).catch((error) =>
        this.#abortExchange(exchange, error)
      );
    }
  }

  /** Fails one exchange: an unexpected error must not end the process. */
  #abortExchange(exchange: Exchange, error: unknown): void {
    const errorName = error instanceof Error ? error.name : typeof error;
    this.#logRefused(exchange, "unexpected error", { errorName });
    exchange.response.destroy();
  }

  #enqueueWaiter(
    waiters: RouteWaiters<Exchange>,
    exchange: Exchange,
    { reason, timeoutMs }: {
      readonly reason: string;
      /** Time limit of the request, in milliseconds. */
      readonly timeoutMs: number;
    },
  ): void {
    const { arrivedAtMs } = exchange;
    if (!waiters.add(exchange, { arrivedAtMs, callerTimeoutMs: timeoutMs })) {
      this.#refuseEarly(exchange, reason);
    }
  }

  #refuseDraining(exchange: Exchange, retryAfterMs: number): void {
    this.#logRefused(exchange, "draining", { retryAfterMs });
    this.#replies.replyRetryLater(exchange, 503, retryAfterMs);
  }

  #refuseEarly(exchange: Exchange, reason: string): void {
    this.#logRefused(exchange, reason);
    this.#replies.replyRetryLater(exchange, 503, NOT_READY_RETRY_MS);
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
      requestId:
        dialect.readRequestMetadata(exchange.request.headers).requestId,
      reason,
      routesVersion: this.#routes.version,
      ...inputs,
      elapsedMs: readClock() - exchange.arrivedAtMs,
    });
  }

  async #process(exchange: Exchange): Promise<void> {
    const { request } = exchange;
    if (!this.#routes.hasTable) {
      this.#enqueueWaiter(this.#routeWaiters, exchange, {
        reason: "no routes yet",
        timeoutMs: this.#getCallerTimeoutMs(request),
      });
      return;
    }
    const route = this.#routes.find(readTarget(request));
    if ("status" in route) {
      this.#replies.reply(exchange, route.status);
      return;
    }
    if (route.needsKey !== true) {
      await this.#readAndStart(exchange, route);
      return;
    }
    const { dialect, workspaces } = this.#options;
    const { key } = dialect.readRequestMetadata(request.headers);
    const checked = workspaces.check(key, exchange.arrivedAtMs);
    if (this.#canContinue(exchange, checked, route)) {
      await this.#readAndStart(exchange, route, checked.workspace);
    }
  }

  async #readAndStart(
    exchange: Exchange,
    route: Route,
    workspace?: Workspace,
  ): Promise<void> {
    const deadlineMs = this.#computeDeadlineMs(exchange, route);
    const decision = decideHandover(deadlineMs, {
      times: this.#options.getDrainTimes(),
      nowMs: this.#options.readClock(),
    });
    if (decision.type === "Refuse") {
      this.#refundQuota(workspace);
      this.#refuseDraining(exchange, decision.retryAfterMs);
      return;
    }
    if (exchange.awaitsContinue) {
      exchange.awaitsContinue = false;
      exchange.response.writeContinue();
    }
    const body = await this.#readBody(exchange, deadlineMs);
    if (body === undefined || exchange.isEnded || exchange.response.destroyed) {
      this.#refundQuota(workspace);
      return;
    }
    this.#getConnection(exchange.request.socket)?.runAfterBacklogRead(() => {
      try {
        this.#startReceived(exchange, route, { body, workspace });
      } catch (error) {
        this.#abortExchange(exchange, error);
      }
    });
  }

  #startReceived(
    exchange: Exchange,
    route: Route,
    received: ReceivedRequest,
  ): void {
    const { workspace } = received;
    if (exchange.isEnded || exchange.isAnswered) {
      this.#refundQuota(workspace);
      return;
    }
    const mayStart = workspace === undefined || this.#canContinue(
      exchange,
      this.#options.workspaces.recheckLease(workspace),
      route,
    );
    if (mayStart) {
      this.#start(exchange, route, received);
    }
  }

  /** Stops counting a request that was not run against its workspace's limit. */
  #refundQuota(workspace: Workspace | undefined): void {
    if (workspace !== undefined) {
      this.#options.workspaces.recordNotRun(workspace);
    }
  }

  /** Returns whether a request may continue; otherwise queues or refuses it. */
  #canContinue(
    exchange: Exchange,
    checked: EntryCheck,
    route: Route,
  ): checked is Extract<EntryCheck, { type: "Entered" }> {
    switch (checked.type) {
      case "Entered":
        return true;
      case "Waiting":
        this.#options.requestProof();
        this.#enqueueWaiter(this.#proofWaiters, exchange, {
          reason: checked.reason,
          timeoutMs: this.#computeDeadlineMs(exchange, route) -
            exchange.arrivedAtMs,
        });
        return false;
      case "Refused":
        this.#refuse(exchange, checked.refusal);
        return false;
    }
  }

  #refuse(exchange: Exchange, refusal: EntryRefusal): void {
    const { type, ...inputs } = refusal;
    this.#logRefused(exchange, REFUSAL_REASONS[type], inputs);
    switch (refusal.type) {
      case "UnknownKey":
        this.#replies.reply(exchange, 401);
        return;
      case "OverLimit":
        this.#replies.replyRetryLater(exchange, 429, refusal.retryAfterMs);
        return;
      case "LeaseLapsed":
        this.#options.requestProof();
        this.#replies.replyRetryLater(exchange, 503, refusal.retryAfterMs);
        return;
    }
  }

  async #readBody(
    exchange: Exchange,
    deadlineMs: number,
  ): Promise<Uint8Array | undefined> {
    const reservation = this.#bufferedBytes.open();
    exchange.cleanUps.push(reservation.release);
    const result = await readBody(exchange.request, {
      maxBytes: this.#routes.limits!.maxBodyBytes,
      reserve: reservation.add,
      maxMs: deadlineMs - this.#options.readClock(),
    });
    switch (result.type) {
      case "Whole":
        return result.body;
      case "TooLarge":
        this.#logRefused(exchange, "body too large");
        this.#closeAfter(exchange);
        this.#replies.reply(exchange, 413);
        return undefined;
      case "TooManyPieces":
        this.#logRefused(exchange, "body in too many small pieces");
        closeAfter(exchange.request, exchange.response);
        this.#replies.reply(exchange, 408);
        return undefined;
      case "TooLate":
        reservation.release();
        this.#refuseLateBody(exchange);
        return undefined;
      case "NoRoom":
        this.#replies.replyRetryLater(exchange, 503, MEMORY_RETRY_MS);
        return undefined;
      case "Broken":
        return undefined;
    }
  }

  /**
   * Answers a request whose body is not complete at its time limit, and closes
   * its connection after the answer: what follows may be the rest of the body.
   */
  #refuseLateBody(exchange: Exchange): void {
    if (!exchange.isAnswered) {
      this.#logRefused(exchange, "body not complete at the time limit");
    }
    this.#closeAfter(exchange);
    this.#replies.reply(exchange, 408);
  }

  /** Makes an answer the last one of its connection. */
  #closeAfter({ request, response }: Exchange): void {
    response.shouldKeepAlive = false;
    this.#getConnection(request.socket)?.closeWhenIdle();
  }

  /** Computes when a request expires: by its route, or by its caller. */
  #computeDeadlineMs(
    { request, arrivedAtMs }: Exchange,
    { timeoutMs }: Route,
  ): number {
    return arrivedAtMs + Math.min(timeoutMs, this.#getCallerTimeoutMs(request));
  }

  #getCallerTimeoutMs({ headers }: IncomingMessage): number {
    const { timeoutMs = DEFAULT_CALLER_TIMEOUT_MS } = this.#options.dialect
      .readRequestMetadata(headers);
    return timeoutMs;
  }

  #start(
    exchange: Exchange,
    route: Route,
    { body, workspace }: ReceivedRequest,
  ): void {
    const { request, arrivedAtMs } = exchange;
    const { dialect, getCallerService, readClock, startCall } = this.#options;
    const { requestId } = dialect.readRequestMetadata(request.headers);
    if (requestId === undefined) {
      this.#replies.reply(exchange, 400);
      return;
    }
    const deadlineMs = this.#computeDeadlineMs(exchange, route);
    if (readClock() >= deadlineMs) {
      this.#refundQuota(workspace);
      this.#refuseEarly(exchange, "time limit");
      return;
    }
    const { target, headers } = readRequestLine(request);
    const service = this.#routes.chooseService(route);
    const origin = this.#options.observeCall({ route: route.name, service });
    const entry: EntryRequest = {
      requestId,
      route,
      method: request.method!,
      target,
      headers: dialect.createCallHeaders(
        headers,
        { service: getCallerService(), workspace: workspace?.name },
      ),
      body,
      arrivedAtMs,
      deadlineMs,
      queuedMs: exchange.queuedMs,
      ...origin,
      rank: this.#routes.computeRank(route, workspace),
    };
    exchange.isStarted = true;
    let isAnswered = false;
    const withdraw = startCall(entry, service, (result) => {
      isAnswered = true;
      if (isRefused(result)) {
        this.#refundQuota(workspace);
      }
      this.#replies.finish(exchange, result);
    });
    exchange.cleanUps.push(() => {
      if (!isAnswered) {
        withdraw();
      }
    });
  }
}

function isRefused(result: EntryResult): boolean {
  return result.type === "Failed" && result.failure.type === "Refused";
}

function readTarget(request: IncomingMessage) {
  const headerBytes = request.rawHeaders
    .reduce((sum, part) => sum + part.length + 2, 0);
  return { ...readRequestLine(request), headerBytes };
}

function readRequestLine(request: IncomingMessage): RequestLine {
  const { headers, url, rawHeaders } = request;
  const host = headers.host ?? "";
  return resolveTarget({ host, target: url ?? "/", headers: rawHeaders });
}
