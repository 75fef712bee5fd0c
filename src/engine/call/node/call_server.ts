/**
 * The HTTP listeners of a node: converts requests into events and performs the
 * effects that concern them.
 */
import { randomBytes } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import {
  listen,
  type ListenAddress,
  parseAddress,
} from "../../../base/node/listen.ts";
import { ServedConnections } from "../../../base/node/served_connections.ts";
import {
  HEAD_LIMITS,
  refuseMalformed,
} from "../../../base/node/read_limits.ts";
import { createServer } from "../../../base/node/tls.ts";
import type { TlsKeys } from "../../../base/node/tls.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/node/message_codec.ts";
import { isKnownMessage, PEER_PATH } from "../../peer/common/peer_messages.ts";
import type {
  PeerMessage,
  PeerReply,
} from "../../peer/common/peer_messages.ts";
import {
  CLOCK_HEADER,
  encodeClock,
} from "../../telemetry/common/process_clock.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import type {
  Listener,
  NodeEffect,
  NodeEvent,
  SignalHeaders,
} from "../common/call_events.ts";
import { AttemptSender } from "./attempt_sender.ts";
import { probeBackend } from "../../../base/node/backend_probe.ts";
import {
  collectBody,
  createCallReceived,
  readBodyBytes,
} from "./call_reading.ts";
import type { IncomingCall } from "./call_reading.ts";
import { writeAnswer } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";

/** Options of a `CallServer`. */
export interface CallServerOptions {
  readonly listeners: Readonly<Record<Listener, ListenAddress>>;
  readonly dispatch: (event: NodeEvent) => void;
  /** Delays requests while the event loop lags. */
  readonly loop: CallLoop;
  /** Called for each accepted connection; more may be in the accept queue. */
  readonly recordConnection: () => void;
  /** Delays the first request of each connection. */
  readonly firstRequests: FirstRequestQueue;
  /** Maximum number of connections to one address. */
  readonly connections: number;
  /**
   * Certificate of the ingress listener, which then requires its clients to
   * have one of the same authority. Undefined for plain text.
   */
  readonly tls?: TlsKeys | undefined;
  /** Whether the edge listener uses TLS too; false by default. */
  readonly isEdgeTls?: boolean;
  /** Exchanged with other nodes in the clock header. */
  readonly clock?: ProcessClock | undefined;
}

/** Effects that a `CallServer` performs. */
export type CallEffect = Extract<NodeEffect, {
  type:
    | "AnswerCall"
    | "SendAttempt"
    | "AbortAttempt"
    | "DiscardAnswer"
    | "DropConnections"
    | "ProvideAnswer"
    | "RelayAnswer"
    | "DropExchange"
    | "AnswerPeer"
    | "ProbeBackend";
}>;

/** A request body up to this size is buffered so that it can be resent. */
const MAX_REPLAYABLE_BODY_BYTES = 64 * 1024;
/** Maximum size of a message from another node. */
const MAX_PEER_MESSAGE_BYTES = 256 * 1024;
/** Idle connections are closed after this time. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Longest wait at the end for callers to close their ends of connections. */
const MAX_CLOSE_WAIT_MS = 300;

/** Owns the three listeners and the exchanges received on them. */
export class CallServer implements AsyncDisposable {
  readonly #options: CallServerOptions;
  readonly #sender: AttemptSender;
  /** By exchange id. */
  readonly #exchanges = new Map<string, Exchange>();
  /** Random, so that exchange ids differ between process instances. */
  readonly #idPrefix = randomBytes(6).toString("hex");
  readonly #servers: Server[] = [];
  readonly #connections = new Map<Listener, ServedConnections>();
  /** Requests that are dispatched or about to be, and not answered. */
  #openCount = 0;
  #nextExchangeNumber = 0;
  /** Callbacks that send the reply to a peer message, by its `askId`. */
  readonly #replyCallbacks = new Map<number, (reply: PeerReply) => void>();
  #nextAskId = 0;
  /**
   * Connections that have delivered the bytes which were unread when they were
   * accepted: their next request need not wait in `firstRequests`.
   */
  readonly #caughtUpSockets = new WeakSet<Socket>();

  constructor(options: CallServerOptions) {
    this.#options = options;
    const { dispatch, connections, tls, clock } = options;
    this.#sender = new AttemptSender({ dispatch, connections, tls, clock });
  }

  /** Opens the listeners. */
  async open(): Promise<void> {
    const { listeners } = this.#options;
    for (const name of ["ingress", "egress", "edge"] as const) {
      const server = createServer({
        ...this.#createTlsOptions(name),
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        ...HEAD_LIMITS,
      }, (request, response) => {
        if (connections.accept(request, response)) {
          this.#receiveRequest(name, request, response);
        }
      });
      refuseMalformed(server);
      const connections = new ServedConnections(server);
      server.on("connection", this.#options.recordConnection);
      this.#servers.push(server);
      this.#connections.set(name, connections);
      await listen(server, listeners[name]);
    }
  }

  /** The egress listener serves the local backend server in plain text. */
  #createTlsOptions(listener: Listener) {
    const { tls, isEdgeTls = false } = this.#options;
    const isTls = listener === "ingress" || (listener === "edge" && isEdgeTls);
    return {
      tls: isTls ? tls : undefined,
      isMutual: listener === "ingress",
    };
  }

  /** Performs one effect; ignores those of an exchange that has ended. */
  perform(effect: CallEffect): void {
    if (effect.type === "AbortAttempt") {
      this.#sender.abort(effect.attemptId);
      return;
    }
    if (effect.type === "DiscardAnswer") {
      this.#sender.discard(effect.attemptId);
      return;
    }
    if (effect.type === "DropConnections") {
      this.#sender.dropConnections(effect.address);
      return;
    }
    if (effect.type === "ProvideAnswer") {
      this.#sender.provide(effect.attemptId, effect.answer);
      return;
    }
    if (effect.type === "ProbeBackend") {
      probeBackend(parseAddress(effect.address)!).then((isAlive) =>
        this.#options.dispatch({ type: "BackendProbed", isAlive })
      );
      return;
    }
    if (effect.type === "AnswerPeer") {
      this.#answerPeer(effect.askId, effect.reply);
      return;
    }
    const exchange = this.#exchanges.get(effect.exchangeId);
    if (exchange !== undefined) {
      this.#performOnExchange(exchange, effect);
    }
  }

  /** Number of requests whose answer has not been sent completely. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * From now on closes each edge or ingress connection after its last answer,
   * so that no connection is closed while a request is in transit on it.
   */
  drain(): void {
    this.#connections.get("edge")?.drain();
    this.#connections.get("ingress")?.drain();
  }

  /**
   * Stops accepting connections, and closes each one when no request on it is
   * unanswered. Connections that wait to be accepted are accepted first.
   */
  async close(): Promise<void> {
    await Promise.all(
      Array.from(this.#connections.values(), (one) => one.close()),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.close();
    await Promise.all(
      Array.from(
        this.#connections.values(),
        (one) => one.waitForClose(MAX_CLOSE_WAIT_MS),
      ),
    );
    for (const server of this.#servers) {
      server.closeAllConnections();
    }
    await this.#sender[Symbol.asyncDispose]();
  }

  #performOnExchange(
    exchange: Exchange,
    effect: Exclude<
      CallEffect,
      {
        type:
          | "AbortAttempt"
          | "DiscardAnswer"
          | "DropConnections"
          | "ProvideAnswer"
          | "AnswerPeer"
          | "ProbeBackend";
      }
    >,
  ): void {
    switch (effect.type) {
      case "AnswerCall":
        writeAnswer(exchange, {
          ...effect,
          headers: this.#addClockHeader(exchange, effect.headers),
        });
        return;
      case "SendAttempt":
        this.#sender.send(effect, exchange);
        return;
      case "RelayAnswer":
        this.#sender.relay(
          effect.attemptId,
          exchange,
          this.#addClockHeader(exchange, effect.headers),
        );
        return;
      case "DropExchange":
        exchange.response.destroy();
        return;
    }
  }

  /** Adds this process's clock to an answer that goes to another node. */
  #addClockHeader(exchange: Exchange, headers: SignalHeaders): SignalHeaders {
    const { clock } = this.#options;
    return clock === undefined || !exchange.isFromNode
      ? headers
      : { ...headers, [CLOCK_HEADER]: encodeClock(clock.read()) };
  }

  #receiveRequest(
    listener: Listener,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const bodyBytes = readBodyBytes(request);
    const isFromNode = listener === "ingress";
    if (isFromNode) {
      this.#options.clock?.observe(request.headers[CLOCK_HEADER]);
    }
    if (isFromNode && request.url === PEER_PATH) {
      this.#receivePeerMessage(request, response);
      return;
    }
    const acceptBody = (body: Uint8Array | undefined) => {
      const incoming = { request, response, isFromNode, body, bodyBytes };
      this.#acceptCall(listener, incoming);
    };
    if (bodyBytes === undefined || bodyBytes > MAX_REPLAYABLE_BODY_BYTES) {
      acceptBody(undefined);
      return;
    }
    collectBody({ request, response, bodyBytes }, acceptBody);
  }

  #receivePeerMessage(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const bodyBytes = readBodyBytes(request) ?? Infinity;
    if (request.method !== "POST" || bodyBytes > MAX_PEER_MESSAGE_BYTES) {
      response.writeHead(400, { connection: "close" }).end();
      return;
    }
    collectBody({ request, response, bodyBytes }, (body) => {
      const message = decodeMessage<PeerMessage>(body);
      if (message === undefined || !isKnownMessage(message)) {
        response.writeHead(400).end();
        return;
      }
      const askId = this.#nextAskId++;
      this.#replyCallbacks.set(askId, (reply) => {
        const bytes = encodeMessage(reply);
        const { clock } = this.#options;
        response.writeHead(200, {
          "content-length": bytes.length,
          ...(clock && { [CLOCK_HEADER]: encodeClock(clock.read()) }),
        }).end(bytes);
      });
      response.on("close", () => this.#replyCallbacks.delete(askId));
      this.#options.dispatch({ type: "PeerAsked", askId, message });
    });
  }

  /** Sends a message to this node itself, without a connection. */
  ask(message: PeerMessage): Promise<PeerReply> {
    const askId = this.#nextAskId++;
    return new Promise((resolve) => {
      this.#replyCallbacks.set(askId, resolve);
      this.#options.dispatch({ type: "PeerAsked", askId, message });
    });
  }

  #answerPeer(askId: number, reply: PeerReply): void {
    const callback = this.#replyCallbacks.get(askId);
    this.#replyCallbacks.delete(askId);
    callback?.(reply);
  }

  /**
   * Dispatches a call unless its caller has disconnected. If the event loop
   * lags or connections are queued in a listener, a request is read before the
   * close of its connection even if both were received earlier; therefore
   * waits until such a close would have been read.
   */
  #acceptCall(listener: Listener, incoming: IncomingCall): void {
    const { request, response, isFromNode, body } = incoming;
    const { dispatch, loop, firstRequests } = this.#options;
    if (response.destroyed) {
      return;
    }
    const id = `${this.#idPrefix}-${(this.#nextExchangeNumber++).toString(36)}`;
    let isClosed = false;
    let isDispatched = false;
    this.#openCount += 1;
    response.on("close", () => {
      isClosed = true;
      this.#openCount -= 1;
      this.#exchanges.delete(id);
      if (isDispatched && !response.writableFinished) {
        dispatch({ type: "CallerLeft", exchangeId: id });
      }
    });
    const dispatchCall = () => {
      this.#caughtUpSockets.add(request.socket);
      if (!isClosed && !request.socket.readableEnded) {
        isDispatched = true;
        this.#exchanges.set(id, { id, request, response, isFromNode, body });
        dispatch(createCallReceived(id, listener, incoming));
      }
    };
    if (this.#caughtUpSockets.has(request.socket)) {
      loop.runAfterPendingReads(dispatchCall);
    } else {
      firstRequests.enqueue(dispatchCall);
    }
  }
}
