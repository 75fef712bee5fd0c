/** Sends attempts to other nodes and to the backend server. */
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
import type { StoredAnswer } from "../../claims/common/claim_types.ts";
import {
  collectAnswer,
  createSource,
  flattenHeaders,
} from "./answer_collector.ts";
import type { SourceAnswer } from "./answer_collector.ts";
import { decodeLoadHint } from "../../routing/common/load_hint.ts";
import { copyHeaders } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";
import { RelayWatch } from "./relay_watch.ts";

type SendAttempt = Extract<NodeEffect, { type: "SendAttempt" }>;

/** What the sender is built from. */
export interface AttemptSenderOptions {
  readonly dispatch: (event: NodeEvent) => void;
  /** Most connections to one address. */
  readonly connections: number;
  /** Presented to other nodes, which must be of the authority. */
  readonly tls?: TlsKeys | undefined;
}

interface OpenAttempt {
  readonly abort: AbortController;
  answer: SourceAnswer | undefined;
}

const CONNECT_TIMEOUT_MS = 1_000;
/** Longest idle time of a connection that is used again. */
const KEEP_ALIVE_MS = 10_000;
/** Statuses whose answers have no body (RFC 9112, section 6.3). */
const BODILESS: readonly number[] = [204, 304];
const OUTCOMES: readonly string[] = ["ran", "not-run", "unknown"];

/**
 * Whether an error was raised before a byte of the request was written: only
 * a connection that was never made proves it. One that was open may report
 * the same codes long after it carried the request.
 */
export function isUnsent(error: unknown): boolean {
  return error instanceof errors.ConnectTimeoutError ||
    (error as NodeJS.ErrnoException).syscall === "connect";
}

/** Whether the peer broke the connection. */
function isReset(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return error instanceof errors.SocketError || code === "ECONNRESET" ||
    code === "EPIPE";
}

/** Runs the attempts of one node over keep-alive connections. */
export class AttemptSender implements AsyncDisposable {
  readonly #options: AttemptSenderOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #open = new Map<string, OpenAttempt>();
  readonly #watch: RelayWatch;
  /** Nodes are reached by TLS; the backend server is on loopback. */
  readonly #connectors: Readonly<Record<SendAttempt["peer"], Connector>>;

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#watch = new RelayWatch(options.dispatch);
    this.#connectors = {
      node: createConnector(options.tls, CONNECT_TIMEOUT_MS),
      backend: createConnector(undefined, CONNECT_TIMEOUT_MS),
    };
  }

  /** Sends an attempt; its result comes as events. */
  send(effect: SendAttempt, exchange: Exchange): void {
    const open: OpenAttempt = {
      abort: new AbortController(),
      answer: undefined,
    };
    this.#open.set(effect.attemptId, open);
    this.#request(effect, exchange, open).catch((error: unknown) => {
      this.#fail(effect.attemptId, error);
    });
  }

  /** Cancels an attempt; nothing more is heard of it. */
  abort(attemptId: string): void {
    const open = this.#open.get(attemptId);
    this.#open.delete(attemptId);
    open?.abort.abort();
    open?.answer?.body.on("error", () => {}).destroy();
  }

  /** Lets what is in progress at `address` end; later attempts reconnect. */
  dropConnections(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch(() => {});
  }

  /** Reads an unwanted answer to its end, so that the connection lives on. */
  discard(attemptId: string): void {
    const answer = this.#open.get(attemptId)?.answer;
    this.#open.delete(attemptId);
    answer?.body.on("error", () => {}).resume();
  }

  /** Puts a kept answer where the one of an attempt would be. */
  provide(attemptId: string, answer: StoredAnswer): void {
    const abort = new AbortController();
    this.#open.set(attemptId, { abort, answer: createSource(answer) });
  }

  /** Passes an answer on; a cut one breaks the caller's connection too. */
  relay(attemptId: string, exchange: Exchange, signals: SignalHeaders): void {
    const answer = this.#open.get(attemptId)?.answer;
    if (answer === undefined) {
      exchange.response.destroy();
      return;
    }
    const { response } = exchange;
    const headers = copyHeaders(answer.headers);
    for (const [name, value] of Object.entries(signals)) {
      headers.push(name, value);
    }
    response.writeHead(answer.statusCode, headers);
    this.#pipe(attemptId, answer.body, exchange);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const attemptId of [...this.#open.keys()]) {
      this.abort(attemptId);
    }
    await this.#watch[Symbol.asyncDispose]();
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #request(
    effect: SendAttempt,
    exchange: Exchange,
    open: OpenAttempt,
  ): Promise<void> {
    const { request } = exchange;
    const headers = copyHeaders(request.rawHeaders);
    headers.push(CONTEXT_HEADER, encodeContext(effect.context));
    const answer = await this.#findPool(effect).request({
      path: request.url ?? "/",
      method: (request.method ?? "GET") as Dispatcher.HttpMethod,
      headers,
      body: this.#createBody(effect, exchange),
      signal: open.abort.signal,
    });
    if (!isFramed(answer, request.method ?? "GET")) {
      answer.body.on("error", () => {}).destroy();
      throw new Error("Answer does not say where it ends");
    }
    const { collectBytes } = effect;
    if (collectBytes !== undefined) {
      await this.#collect(effect.attemptId, open, answer, collectBytes);
      return;
    }
    open.answer = {
      statusCode: answer.statusCode,
      headers: flattenHeaders(answer.headers),
      body: answer.body,
    };
    if (!this.#open.has(effect.attemptId)) {
      answer.body.on("error", () => {}).destroy();
      return;
    }
    this.#options.dispatch({
      type: "AttemptAnswered",
      attemptId: effect.attemptId,
      answer: readAnswer(answer, effect.peer),
    });
  }

  #findPool({ address, peer }: SendAttempt): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const isTls = peer === "node" && this.#options.tls !== undefined;
    const pool = new Pool(formatOrigin(address, isTls), {
      connections: this.#options.connections,
      pipelining: 1,
      connect: this.#connectors[peer],
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
    this.#pools.set(address, pool);
    pool.on("disconnect", () => this.#closeUnused(address, pool));
    return pool;
  }

  /** Forgets a pool that holds no connection and no request. */
  #closeUnused(address: string, pool: Pool): void {
    const { connected, size } = pool.stats;
    if (connected === 0 && size === 0 && this.#pools.get(address) === pool) {
      this.dropConnections(address);
    }
  }

  async #collect(
    attemptId: string,
    open: OpenAttempt,
    answer: Dispatcher.ResponseData,
    maxBytes: number,
  ): Promise<void> {
    const { source, stored } = await collectAnswer(answer, maxBytes);
    open.answer = source;
    if (!this.#open.has(attemptId)) {
      source.body.on("error", () => {}).destroy();
      return;
    }
    this.#options.dispatch({
      type: "AnswerCollected",
      attemptId,
      status: answer.statusCode,
      answer: stored,
    });
  }

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

  #limitBody(effect: SendAttempt, exchange: Exchange): Readable {
    const { dispatch } = this.#options;
    let total = 0;
    const limit = new Transform({
      transform(chunk: Uint8Array, _encoding, done) {
        total += chunk.length;
        if (total <= effect.maxBodyBytes) {
          done(null, chunk);
          return;
        }
        dispatch({ type: "BodyLimitPassed", exchangeId: exchange.id });
        done(new Error("Body is over the limit"));
      },
    });
    exchange.request.on("close", () => {
      if (!exchange.request.complete) {
        limit.destroy(new Error("Caller left"));
      }
    });
    return exchange.request.pipe(limit);
  }

  #pipe(attemptId: string, body: Readable, exchange: Exchange): void {
    const { response } = exchange;
    const { dispatch } = this.#options;
    this.#watch.add(attemptId, body, response);
    body.on("error", () => {
      if (this.#open.delete(attemptId)) {
        dispatch({ type: "AnswerCut", attemptId });
      }
    });
    response.on("finish", () => {
      if (this.#open.delete(attemptId)) {
        dispatch({ type: "AttemptEnded", attemptId });
      }
    });
    body.pipe(response);
  }

  #fail(attemptId: string, error: unknown): void {
    if (!this.#open.delete(attemptId)) {
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
 * Whether an answer says where it ends. One that ends with its connection
 * looks the same whole and cut, so it can't be passed on as complete.
 */
function isFramed(answer: Dispatcher.ResponseData, method: string): boolean {
  const { headers, statusCode } = answer;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined ||
    method === "HEAD" || BODILESS.includes(statusCode);
}

function readAnswer(
  answer: Dispatcher.ResponseData,
  peer: SendAttempt["peer"],
): AttemptAnswer {
  const status = answer.statusCode;
  if (peer === "backend") {
    return { status, outcome: "ran", tokens: 0, isDraining: false };
  }
  const outcome = String(answer.headers[OUTCOME_HEADER] ?? "");
  const tokens = Number(answer.headers[TOKENS_HEADER] ?? 0);
  return {
    status,
    outcome: OUTCOMES.includes(outcome) ? outcome as CallOutcome : undefined,
    tokens: Number.isInteger(tokens) && tokens >= 0 ? tokens : 0,
    isDraining: answer.headers[DRAINING_HEADER] === "1",
    level: decodeLevel(String(answer.headers[LEVEL_HEADER] ?? "")),
    hintedLoad: decodeLoadHint(String(answer.headers[LOAD_HEADER] ?? "")),
  };
}
