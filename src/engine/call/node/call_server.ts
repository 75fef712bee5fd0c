/** The listeners of a node: HTTP in, events out, effects carried out. */
import { randomBytes } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { FirstRequestQueue } from "../../../base/common/first_requests.ts";
import { listen, type ListenAddress } from "../../../base/node/listen.ts";
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
import { probeBackend } from "./backend_probe.ts";
import {
  collectBody,
  createCallReceived,
  readBodyBytes,
} from "./call_reading.ts";
import type { ArrivedCall } from "./call_reading.ts";
import { writeAnswer } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";

/** What the listeners are built from. */
export interface CallServerOptions {
  readonly listeners: Readonly<Record<Listener, ListenAddress>>;
  readonly dispatch: (event: NodeEvent) => void;
  readonly loop: CallLoop;
  /** A connection was accepted; more may wait in a listener's queue. */
  readonly noteConnection: () => void;
  readonly firstRequests: FirstRequestQueue;
  /** Most connections to one backend server. */
  readonly connections: number;
  /** Presented on ingress, which then takes only nodes of the authority. */
  readonly tls?: TlsKeys | undefined;
  /** Whether callers reach the edge by TLS too. */
  readonly isEdgeTls?: boolean;
  readonly clock?: ProcessClock | undefined;
}

/** Effects that concern exchanges and attempts. */
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

/** Largest body that is held whole so that it can be sent again. */
const REPLAY_BYTES = 64 * 1024;
/** Largest message from another node. */
const MAX_PEER_BYTES = 256 * 1024;
const KEEP_ALIVE_MS = 60_000;

/** Owns the three listeners and the exchanges on them. */
export class CallServer implements AsyncDisposable {
  readonly #options: CallServerOptions;
  readonly #sender: AttemptSender;
  readonly #exchanges = new Map<string, Exchange>();
  readonly #idPrefix = randomBytes(6).toString("hex");
  readonly #servers: Server[] = [];
  #nextId = 0;
  readonly #asks = new Map<number, (reply: PeerReply) => void>();
  #nextAsk = 0;
  /** Connections of which what lay unread when they were accepted is read. */
  readonly #readSockets = new WeakSet<Socket>();
  #isDraining = false;

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
        keepAliveTimeout: KEEP_ALIVE_MS,
        requestTimeout: 0,
      }, (request, response) => {
        this.#receive(name, request, response);
      });
      server.on("connection", this.#options.noteConnection);
      this.#servers.push(server);
      await listen(server, listeners[name]);
    }
  }

  /** Egress is for the local backend server and stays plain. */
  #createTlsOptions(listener: Listener) {
    const { tls, isEdgeTls = false } = this.#options;
    const isTls = listener === "ingress" || (listener === "edge" && isEdgeTls);
    return {
      tls: isTls ? tls : undefined,
      isMutual: listener === "ingress",
    };
  }

  /** Carries out one effect. */
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
      probeBackend(effect.address).then((isAlive) =>
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
      this.#performOn(exchange, effect);
    }
  }

  /** Exchanges whose answer is not out yet. */
  get openCount(): number {
    return this.#exchanges.size;
  }

  /**
   * Ends each connection from outside with its next answer, so that none is
   * closed under a request that is on its way.
   */
  drain(): void {
    this.#isDraining = true;
  }

  /** Stops taking connections; those that are idle are closed. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.close();
    for (const server of this.#servers) {
      server.closeAllConnections();
    }
    await this.#sender[Symbol.asyncDispose]();
  }

  #performOn(
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
          headers: this.#addClock(exchange, effect.headers),
        });
        return;
      case "SendAttempt":
        this.#sender.send(effect, exchange);
        return;
      case "RelayAnswer":
        this.#sender.relay(
          effect.attemptId,
          exchange,
          this.#addClock(exchange, effect.headers),
        );
        return;
      case "DropExchange":
        exchange.response.destroy();
        return;
    }
  }

  /** An answer to a node says the clock. */
  #addClock(exchange: Exchange, headers: SignalHeaders): SignalHeaders {
    const { clock } = this.#options;
    return clock === undefined || !exchange.isFromNode
      ? headers
      : { ...headers, [CLOCK_HEADER]: encodeClock(clock.read()) };
  }

  #receive(
    listener: Listener,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const bodyBytes = readBodyBytes(request);
    if (this.#isDraining && listener !== "egress") {
      response.shouldKeepAlive = false;
    }
    const isFromNode = listener === "ingress";
    if (isFromNode) {
      this.#options.clock?.observe(request.headers[CLOCK_HEADER]);
    }
    if (isFromNode && request.url === PEER_PATH) {
      this.#receivePeer(request, response);
      return;
    }
    const accept = (body: Uint8Array | undefined) => {
      const arrived = { request, response, isFromNode, body, bodyBytes };
      this.#accept(listener, arrived);
    };
    if (bodyBytes === undefined || bodyBytes > REPLAY_BYTES) {
      accept(undefined);
      return;
    }
    collectBody(request, bodyBytes, accept);
  }

  #receivePeer(request: IncomingMessage, response: ServerResponse): void {
    const bodyBytes = readBodyBytes(request) ?? Infinity;
    if (request.method !== "POST" || bodyBytes > MAX_PEER_BYTES) {
      response.writeHead(400, { connection: "close" }).end();
      return;
    }
    collectBody(request, bodyBytes, (body) => {
      const message = decodeMessage<PeerMessage>(body);
      if (message === undefined || !isKnownMessage(message)) {
        response.writeHead(400).end();
        return;
      }
      const askId = this.#nextAsk++;
      this.#asks.set(askId, (reply) => {
        const bytes = encodeMessage(reply);
        const { clock } = this.#options;
        response.writeHead(200, {
          "content-length": bytes.length,
          ...(clock && { [CLOCK_HEADER]: encodeClock(clock.read()) }),
        }).end(bytes);
      });
      response.on("close", () => this.#asks.delete(askId));
      this.#options.dispatch({ type: "PeerAsked", askId, message });
    });
  }

  /** Asks this node itself, without a connection. */
  ask(message: PeerMessage): Promise<PeerReply> {
    const askId = this.#nextAsk++;
    return new Promise((resolve) => {
      this.#asks.set(askId, resolve);
      this.#options.dispatch({ type: "PeerAsked", askId, message });
    });
  }

  #answerPeer(askId: number, reply: PeerReply): void {
    const answer = this.#asks.get(askId);
    this.#asks.delete(askId);
    answer?.(reply);
  }

  /**
   * A process that is behind, or in whose listener connections wait, reads a
   * request before a close that came first: a call is decided on once that
   * close has been read.
   */
  #accept(listener: Listener, arrived: ArrivedCall): void {
    const { request, response, isFromNode, body } = arrived;
    const { dispatch, loop, firstRequests } = this.#options;
    const id = `${this.#idPrefix}-${(this.#nextId++).toString(36)}`;
    let isClosed = false;
    let isTold = false;
    response.on("close", () => {
      isClosed = true;
      this.#exchanges.delete(id);
      if (isTold && !response.writableFinished) {
        dispatch({ type: "CallerLeft", exchangeId: id });
      }
    });
    const decide = () => {
      this.#readSockets.add(request.socket);
      if (!isClosed && !request.socket.readableEnded) {
        isTold = true;
        this.#exchanges.set(id, { id, request, response, isFromNode, body });
        dispatch(createCallReceived(id, listener, arrived));
      }
    };
    if (this.#readSockets.has(request.socket)) {
      loop.runOnceRead(decide);
    } else {
      firstRequests.hold(decide);
    }
  }
}
