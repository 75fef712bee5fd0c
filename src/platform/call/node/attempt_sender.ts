/** Sends attempts to other nodes and to the backend server. */
import type { Readable } from "node:stream";
import { Transform } from "node:stream";
import { Agent, errors } from "undici";
import type { Dispatcher } from "undici";
import { decodeLevel } from "../../admission/common/admission_level.ts";
import {
  CONTEXT_HEADER,
  DRAINING_HEADER,
  encodeContext,
  LEVEL_HEADER,
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
import { copyHeaders } from "./exchange.ts";
import type { Exchange } from "./exchange.ts";

type SendAttempt = Extract<NodeEffect, { type: "SendAttempt" }>;

/** What the sender is built from. */
export interface AttemptSenderOptions {
  readonly dispatch: (event: NodeEvent) => void;
  /** Most connections to one address. */
  readonly connections: number;
}

interface OpenAttempt {
  readonly abort: AbortController;
  answer: Dispatcher.ResponseData | undefined;
}

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
const OUTCOMES: readonly string[] = ["ran", "not-run", "unknown"];

/** Errors raised before a byte of the request was written. */
function isUnsent(error: unknown): boolean {
  const code = (error as { code?: string }).code ?? "";
  return error instanceof errors.ConnectTimeoutError ||
    ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"].includes(code);
}

/** Runs the attempts of one node over keep-alive connections. */
export class AttemptSender implements AsyncDisposable {
  readonly #options: AttemptSenderOptions;
  readonly #agent: Agent;
  readonly #open = new Map<string, OpenAttempt>();

  constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connections: options.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
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

  /** Reads an unwanted answer to its end, so that the connection lives on. */
  discard(attemptId: string): void {
    const answer = this.#open.get(attemptId)?.answer;
    this.#open.delete(attemptId);
    answer?.body.dump().catch(() => {});
  }

  /** Passes an answer on; a cut one breaks the caller's connection too. */
  relay(attemptId: string, exchange: Exchange, signals: SignalHeaders): void {
    const answer = this.#open.get(attemptId)?.answer;
    if (answer === undefined) {
      exchange.response.destroy();
      return;
    }
    const { response } = exchange;
    const headers = copyHeaders(flattenHeaders(answer.headers));
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
    await this.#agent.destroy();
  }

  async #request(
    effect: SendAttempt,
    exchange: Exchange,
    open: OpenAttempt,
  ): Promise<void> {
    const { request } = exchange;
    const headers = copyHeaders(request.rawHeaders);
    headers.push(CONTEXT_HEADER, encodeContext(effect.context));
    const answer = await this.#agent.request({
      origin: `http://${effect.address}`,
      path: request.url ?? "/",
      method: (request.method ?? "GET") as Dispatcher.HttpMethod,
      headers,
      body: this.#createBody(effect, exchange),
      signal: open.abort.signal,
    });
    open.answer = answer;
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
    });
  }
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
  };
}

function flattenHeaders(
  headers: Dispatcher.ResponseData["headers"],
): readonly string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ""];
    for (const one of values) {
      flat.push(name, one);
    }
  }
  return flat;
}
