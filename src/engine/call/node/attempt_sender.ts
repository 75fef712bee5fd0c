/** Sends attempts to other nodes and to the backend server. */
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
  createSource,
  flattenHeaders,
} from "./answer_collector.ts";
import type { SourceAnswer } from "./answer_collector.ts";
import { AnswerStream, findHeader } from "./answer_stream.ts";
import type { AnswerHead } from "./answer_stream.ts";
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
  readonly clock?: ProcessClock | undefined;
}

/** An attempt whose answer goes straight on. */
interface StreamedAttempt {
  readonly type: "Streamed";
  readonly stream: AnswerStream;
}

/** An attempt whose answer is held whole first. */
interface CollectedAttempt {
  readonly type: "Collected";
  readonly abort: AbortController;
  answer: SourceAnswer | undefined;
}

type OpenAttempt = StreamedAttempt | CollectedAttempt;

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
    if (effect.collectBytes === undefined) {
      this.#stream(effect, exchange);
      return;
    }
    const open: CollectedAttempt = {
      type: "Collected",
      abort: new AbortController(),
      answer: undefined,
    };
    this.#open.set(effect.attemptId, open);
    this.#collect(effect, exchange, open).catch((error: unknown) => {
      this.#fail(effect.attemptId, error);
    });
  }

  /** Cancels an attempt; nothing more is heard of it. */
  abort(attemptId: string): void {
    const open = this.#open.get(attemptId);
    this.#open.delete(attemptId);
    if (open?.type === "Streamed") {
      open.stream.abort();
      return;
    }
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
    const open = this.#open.get(attemptId);
    this.#open.delete(attemptId);
    if (open?.type === "Streamed") {
      open.stream.discard();
      return;
    }
    open?.answer?.body.on("error", () => {}).resume();
  }

  /** Puts a kept answer where the one of an attempt would be. */
  provide(attemptId: string, answer: StoredAnswer): void {
    const abort = new AbortController();
    const source = createSource(answer);
    this.#open.set(attemptId, { type: "Collected", abort, answer: source });
  }

  /** Passes an answer on; a cut one breaks the caller's connection too. */
  relay(attemptId: string, exchange: Exchange, signals: SignalHeaders): void {
    const open = this.#open.get(attemptId);
    const answer = open?.type === "Streamed" ? open.stream.head : open?.answer;
    const { response } = exchange;
    if (open === undefined || answer === undefined) {
      response.destroy();
      return;
    }
    const headers = copyHeaders(answer.headers);
    for (const [name, value] of Object.entries(signals)) {
      headers.push(name, value);
    }
    response.writeHead(answer.statusCode, headers);
    this.#watch.add(attemptId, response);
    response.on("finish", () => {
      if (this.#open.delete(attemptId)) {
        this.#options.dispatch({ type: "AttemptEnded", attemptId });
      }
    });
    if (open.type === "Streamed") {
      open.stream.relay(response);
      return;
    }
    this.#pipe(attemptId, open.answer!.body, response);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const attemptId of [...this.#open.keys()]) {
      this.abort(attemptId);
    }
    await this.#watch[Symbol.asyncDispose]();
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #stream(effect: SendAttempt, exchange: Exchange): void {
    const { attemptId } = effect;
    const stream = new AnswerStream({
      onHead: (head) => this.#answer(effect, exchange, head),
      onData: () => this.#watch.noteMove(attemptId),
      onFailure: (error) => this.#endStream(attemptId, error),
    });
    this.#open.set(attemptId, { type: "Streamed", stream });
    this.#findPool(effect).dispatch(
      this.#createRequest(effect, exchange),
      stream,
    );
  }

  #answer(effect: SendAttempt, exchange: Exchange, head: AnswerHead): void {
    const { attemptId, peer } = effect;
    assertFramed(head, exchange.request.method ?? "GET");
    if (peer === "node") {
      this.#options.clock?.observe(findHeader(head, CLOCK_HEADER));
    }
    if (this.#open.has(attemptId)) {
      const answer = readAnswer(head, peer);
      this.#options.dispatch({ type: "AttemptAnswered", attemptId, answer });
    }
  }

  /** Without a head the attempt failed; with one its answer is cut. */
  #endStream(attemptId: string, error: Error): void {
    const open = this.#open.get(attemptId);
    if (open?.type === "Streamed" && open.stream.isAnswered) {
      this.#open.delete(attemptId);
      this.#options.dispatch({ type: "AnswerCut", attemptId });
      return;
    }
    this.#fail(attemptId, error);
  }

  #createRequest(effect: SendAttempt, exchange: Exchange) {
    const { request } = exchange;
    const headers = copyHeaders(request.rawHeaders);
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
    effect: SendAttempt,
    exchange: Exchange,
    open: CollectedAttempt,
  ): Promise<void> {
    const { attemptId, collectBytes } = effect;
    const answer = await this.#findPool(effect).request({
      ...this.#createRequest(effect, exchange),
      signal: open.abort.signal,
    });
    const { statusCode } = answer;
    const head = { statusCode, headers: flattenHeaders(answer.headers) };
    try {
      assertFramed(head, exchange.request.method ?? "GET");
    } catch (error) {
      answer.body.on("error", () => {}).destroy();
      throw error;
    }
    const { source, stored } = await collectAnswer(answer, collectBytes!);
    open.answer = source;
    if (!this.#open.has(attemptId)) {
      source.body.on("error", () => {}).destroy();
      return;
    }
    this.#options.dispatch({
      type: "AnswerCollected",
      attemptId,
      status: statusCode,
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

  #pipe(attemptId: string, body: Readable, response: ServerResponse): void {
    body.on("data", () => this.#watch.noteMove(attemptId));
    body.on("error", () => {
      if (this.#open.delete(attemptId)) {
        this.#options.dispatch({ type: "AnswerCut", attemptId });
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
 * Throws where an answer doesn't say where it ends. One that ends with its
 * connection looks the same whole and cut, so it can't be passed on as
 * complete.
 */
function assertFramed(head: AnswerHead, method: string): void {
  const isFramed = method === "HEAD" || BODILESS.includes(head.statusCode) ||
    findHeader(head, "content-length") !== undefined ||
    findHeader(head, "transfer-encoding") !== undefined;
  if (!isFramed) {
    throw new Error("Answer does not say where it ends");
  }
}

function readAnswer(
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
