/** Sends attempts to other nodes and to the local backend server. */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { Transform } from "node:stream";
import { errors, Pool } from "undici";
import type { Dispatcher } from "undici";
import { createConnector, formatOrigin } from "../../../base/node/tls.ts";
import type { Connector, TlsKeys } from "../../../base/node/tls.ts";
import { decodeLevel } from "../../admission/common/admission_level.ts";
import {
  CONTEXT_HEADER,
  DRAINING_HEADER,
  encodeContext,
  LEVEL_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  TOKENS_HEADER,
} from "../common/call_context.ts";
import type { CallOutcome } from "../common/call_context.ts";
import type {
  AttemptAnswer,
  NodeEffect,
  NodeEvent,
  SignalHeaders,
} from "../common/call_events.ts";
import {
  CLOCK_HEADER,
  encodeClock,
} from "../../telemetry/common/process_clock.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import type { StoredAnswer } from "../../claims/common/claim_types.ts";
import {
  collectAnswer,
  createRelayableAnswer,
  flattenHeaders,
} from "./answer_collector.ts";
import type { RelayableAnswer } from "./answer_collector.ts";
import { AnswerStream, findHeader } from "./answer_stream.ts";
import type { AnswerHead } from "./answer_stream.ts";
import { decodeLoadHint } from "../../routing/common/load_hint.ts";
import { copyEndToEndHeaders } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";
import { RelayWatch } from "./relay_watch.ts";

type SendAttempt = Extract<NodeEffect, { type: "SendAttempt" }>;

/** Options of an `AttemptSender`. */
export interface AttemptSenderOptions {
  readonly dispatch: (event: NodeEvent) => void;
  /** Maximum number of connections to one address. */
  readonly connections: number;
  /**
   * Certificate presented to other nodes, and the authority that must have
   * issued theirs. Undefined for connections in plain text.
   */
  readonly tls?: TlsKeys | undefined;
  /** Exchanged with other nodes in the clock header. */
  readonly clock?: ProcessClock | undefined;
}

/** An attempt whose answer is relayed as it is received. */
interface StreamedAttempt {
  readonly type: "Streamed";
  readonly stream: AnswerStream;
}

/** An attempt whose answer is buffered before it is relayed. */
interface CollectedAttempt {
  readonly type: "Collected";
  readonly abortController: AbortController;
  /** Undefined until the answer has been collected. */
  answer: RelayableAnswer | undefined;
}

type OpenAttempt = StreamedAttempt | CollectedAttempt;

const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this time. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/** Statuses whose answers have no body (RFC 9112, section 6.3). */
const BODILESS_STATUSES: readonly number[] = [204, 304];
/** The values of `CallOutcome`. */
const OUTCOMES: readonly string[] = ["ran", "not-run", "unknown"];

/**
 * Returns whether an error proves that no byte of the request was written.
 * Only a failure to connect proves it: an established connection may report
 * the same error codes long after it carried the request.
 */
export function isUnsent(error: unknown): boolean {
  return error instanceof errors.ConnectTimeoutError ||
    (error as NodeJS.ErrnoException).syscall === "connect";
}

/** Returns whether the peer broke the connection. */
function isReset(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return error instanceof errors.SocketError || code === "ECONNRESET" ||
    code === "EPIPE";
}

/** Sends the attempts of one node over keep-alive connections. */
export class AttemptSender implements AsyncDisposable {
  readonly #options: AttemptSenderOptions;
  /** By address. */
  readonly #pools = new Map<string, Pool>();
  /** By attempt id. */
  readonly #openAttempts = new Map<string, OpenAttempt>();
  readonly #relayWatch: RelayWatch;
  /**
   * Other nodes are reached by TLS if it is configured; the backend server is
   * on loopback and reached in plain text.
   */
  readonly #connectors: Readonly<Record<SendAttempt["peer"], Connector>>;

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#relayWatch = new RelayWatch(options.dispatch);
    this.#connectors = {
      node: createConnector(options.tls, CONNECT_TIMEOUT_MS),
      backend: createConnector(undefined, CONNECT_TIMEOUT_MS),
    };
  }

  /** Sends an attempt; its result is dispatched as events. */
  send(effect: SendAttempt, exchange: Exchange): void {
    if (effect.collectBytes === undefined) {
      this.#sendStreamed(effect, exchange);
      return;
    }
    const attempt: CollectedAttempt = {
      type: "Collected",
      abortController: new AbortController(),
      answer: undefined,
    };
    this.#openAttempts.set(effect.attemptId, attempt);
    this.#sendCollected(effect, exchange, attempt).catch((error: unknown) => {
      this.#failAttempt(effect.attemptId, error);
    });
  }

  /** Aborts an attempt; its result is not dispatched. */
  abort(attemptId: string): void {
    const attempt = this.#openAttempts.get(attemptId);
    this.#openAttempts.delete(attemptId);
    if (attempt?.type === "Streamed") {
      attempt.stream.abort();
      return;
    }
    attempt?.abortController.abort();
    attempt?.answer?.body.on("error", () => {}).destroy();
  }

  /**
   * Closes the connections to `address` once their requests have ended; later
   * attempts use new ones.
   */
  dropConnections(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch(() => {});
  }

  /** Reads and drops an unwanted answer, so that its connection is reused. */
  discard(attemptId: string): void {
    const attempt = this.#openAttempts.get(attemptId);
    this.#openAttempts.delete(attemptId);
    if (attempt?.type === "Streamed") {
      attempt.stream.discard();
      return;
    }
    attempt?.answer?.body.on("error", () => {}).resume();
  }

  /** Uses a stored answer as the answer of an attempt that was not sent. */
  provide(attemptId: string, answer: StoredAnswer): void {
    const abortController = new AbortController();
    const relayable = createRelayableAnswer(answer);
    this.#openAttempts.set(attemptId, {
      type: "Collected",
      abortController,
      answer: relayable,
    });
  }

  /**
   * Relays an answer to the caller with `signals` added to its headers. Closes
   * the caller's connection if the attempt is no longer open. If the answer is
   * truncated later, `AnswerCut` has the caller's connection closed too.
   */
  relay(attemptId: string, exchange: Exchange, signals: SignalHeaders): void {
    const attempt = this.#openAttempts.get(attemptId);
    const answer = attempt?.type === "Streamed"
      ? attempt.stream.head
      : attempt?.answer;
    const { response } = exchange;
    if (attempt === undefined || answer === undefined) {
      response.destroy();
      return;
    }
    const headers = copyEndToEndHeaders(answer.headers);
    for (const [name, value] of Object.entries(signals)) {
      headers.push(name, value);
    }
    response.writeHead(answer.statusCode, headers);
    this.#relayWatch.add(attemptId, response);
    response.on("finish", () => {
      if (this.#openAttempts.delete(attemptId)) {
        this.#options.dispatch({ type: "AttemptEnded", attemptId });
      }
    });
    if (attempt.type === "Streamed") {
      attempt.stream.relay(response);
      return;
    }
    this.#pipeBody(attemptId, attempt.answer!.body, response);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const attemptId of [...this.#openAttempts.keys()]) {
      this.abort(attemptId);
    }
    await this.#relayWatch[Symbol.asyncDispose]();
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #sendStreamed(effect: SendAttempt, exchange: Exchange): void {
    const { attemptId } = effect;
    const stream = new AnswerStream({
      onHead: (head) => this.#receiveHead(effect, exchange, head),
      onData: () => this.#relayWatch.recordProgress(attemptId),
      onFailure: (error) => this.#failStream(attemptId, error),
    });
    this.#openAttempts.set(attemptId, { type: "Streamed", stream });
    this.#findPool(effect).dispatch(
      this.#createRequest(effect, exchange),
      stream,
    );
  }

  #receiveHead(
    effect: SendAttempt,
    exchange: Exchange,
    head: AnswerHead,
  ): void {
    const { attemptId, peer } = effect;
    assertFramed(head, exchange.request.method ?? "GET");
    if (peer === "node") {
      this.#options.clock?.observe(findHeader(head, CLOCK_HEADER));
    }
    if (this.#openAttempts.has(attemptId)) {
      const answer = readAttemptAnswer(head, peer);
      this.#options.dispatch({ type: "AttemptAnswered", attemptId, answer });
    }
  }

  /**
   * Reports a failed attempt, or a truncated answer if its head has been
   * accepted already.
   */
  #failStream(attemptId: string, error: Error): void {
    const attempt = this.#openAttempts.get(attemptId);
    if (attempt?.type === "Streamed" && attempt.stream.isHeadAccepted) {
      this.#openAttempts.delete(attemptId);
      this.#options.dispatch({ type: "AnswerCut", attemptId });
      return;
    }
    this.#failAttempt(attemptId, error);
  }

  #createRequest(effect: SendAttempt, exchange: Exchange) {
    const { request } = exchange;
    const headers = copyEndToEndHeaders(request.rawHeaders);
    headers.push(CONTEXT_HEADER, encodeContext(effect.context));
    const clock = effect.peer === "node" ? this.#options.clock : undefined;
    if (clock !== undefined) {
      headers.push(CLOCK_HEADER, encodeClock(clock.read()));
    }
    return {
      path: request.url ?? "/",
      method: (request.method ?? "GET") as Dispatcher.HttpMethod,
      headers,
      body: this.#createBody(effect, exchange),
    };
  }

  /** Returns the pool of the attempt's address; creates it on first use. */
  #findPool({ address, peer }: SendAttempt): Pool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const isTls = peer === "node" && this.#options.tls !== undefined;
    const pool = new Pool(formatOrigin(address, isTls), {
      connections: this.#options.connections,
      pipelining: 1,
      connect: this.#connectors[peer],
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
    this.#pools.set(address, pool);
    pool.on("disconnect", () => this.#closeUnusedPool(address, pool));
    return pool;
  }

  /** Closes a pool that has no connection and no request. */
  #closeUnusedPool(address: string, pool: Pool): void {
    const { connected, size } = pool.stats;
    if (connected === 0 && size === 0 && this.#pools.get(address) === pool) {
      this.dropConnections(address);
    }
  }

  async #sendCollected(
    effect: SendAttempt,
    exchange: Exchange,
    attempt: CollectedAttempt,
  ): Promise<void> {
    const { attemptId, collectBytes } = effect;
    const answer = await this.#findPool(effect).request({
      ...this.#createRequest(effect, exchange),
      signal: attempt.abortController.signal,
    });
    const { statusCode } = answer;
    const head = { statusCode, headers: flattenHeaders(answer.headers) };
    try {
      assertFramed(head, exchange.request.method ?? "GET");
    } catch (error) {
      answer.body.on("error", () => {}).destroy();
      throw error;
    }
    const { relayable, stored } = await collectAnswer(answer, collectBytes!);
    attempt.answer = relayable;
    if (!this.#openAttempts.has(attemptId)) {
      relayable.body.on("error", () => {}).destroy();
      return;
    }
    this.#options.dispatch({
      type: "AnswerCollected",
      attemptId,
      status: statusCode,
      answer: stored,
    });
  }

  /**
   * Returns the buffered body if there is one. Otherwise streams the request,
   * enforcing the size limit itself if the length is not stated in advance.
   */
  #createBody(
    effect: SendAttempt,
    exchange: Exchange,
  ): Uint8Array | Readable | null {
    if (exchange.body !== undefined) {
      return exchange.body.length === 0 ? null : exchange.body;
    }
    if (exchange.request.headers["content-length"] !== undefined) {
      return exchange.request;
    }
    return this.#limitBody(effect, exchange);
  }

  /** Streams a chunked body and fails once it exceeds `maxBodyBytes`. */
  #limitBody(effect: SendAttempt, exchange: Exchange): Readable {
    const { dispatch } = this.#options;
    let totalBytes = 0;
    const limiter = new Transform({
      transform(chunk: Uint8Array, _encoding, done) {
        totalBytes += chunk.length;
        if (totalBytes <= effect.maxBodyBytes) {
          done(null, chunk);
          return;
        }
        dispatch({ type: "BodyLimitPassed", exchangeId: exchange.id });
        done(new Error("Body is over the limit"));
      },
    });
    exchange.request.on("close", () => {
      if (!exchange.request.complete) {
        limiter.destroy(new Error("Caller left"));
      }
    });
    return exchange.request.pipe(limiter);
  }

  #pipeBody(attemptId: string, body: Readable, response: ServerResponse): void {
    body.on("data", () => this.#relayWatch.recordProgress(attemptId));
    body.on("error", () => {
      if (this.#openAttempts.delete(attemptId)) {
        this.#options.dispatch({ type: "AnswerCut", attemptId });
      }
    });
    body.pipe(response);
  }

  #failAttempt(attemptId: string, error: unknown): void {
    if (!this.#openAttempts.delete(attemptId)) {
      return;
    }
    this.#options.dispatch({
      type: "AttemptFailed",
      attemptId,
      isSent: !isUnsent(error),
      reason: (error as Error).message,
      isReset: isReset(error),
    });
  }
}

/**
 * Throws if an answer is delimited only by the end of its connection: complete
 * and truncated, it looks the same, so it can't be relayed as complete.
 */
function assertFramed(head: AnswerHead, method: string): void {
  const isFramed = method === "HEAD" ||
    BODILESS_STATUSES.includes(head.statusCode) ||
    findHeader(head, "content-length") !== undefined ||
    findHeader(head, "transfer-encoding") !== undefined;
  if (!isFramed) {
    throw new Error("Answer does not say where it ends");
  }
}

/** Reads the signals that another node adds; a backend server adds none. */
function readAttemptAnswer(
  head: AnswerHead,
  peer: SendAttempt["peer"],
): AttemptAnswer {
  const status = head.statusCode;
  if (peer === "backend") {
    return { status, outcome: "ran", tokens: 0, isDraining: false };
  }
  const outcome = findHeader(head, OUTCOME_HEADER) ?? "";
  const tokens = Number(findHeader(head, TOKENS_HEADER) ?? 0);
  return {
    status,
    outcome: OUTCOMES.includes(outcome) ? outcome as CallOutcome : undefined,
    tokens: Number.isInteger(tokens) && tokens >= 0 ? tokens : 0,
    isDraining: findHeader(head, DRAINING_HEADER) === "1",
    level: decodeLevel(findHeader(head, LEVEL_HEADER) ?? ""),
    hintedLoad: decodeLoadHint(findHeader(head, LOAD_HEADER) ?? ""),
  };
}
