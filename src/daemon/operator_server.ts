/** The HTTP listener for operators, in both roles. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { findRepeatedName } from "../base/common/json_names.ts";
import { closeAfter, readBody } from "../base/node/body_reader.ts";
import { listen, type ListenAddress } from "../base/node/listen.ts";
import {
  BODY_TIMEOUT_MS,
  refuseMalformed,
  REQUEST_LIMITS,
} from "../base/node/read_limits.ts";
import { ServedConnections } from "../base/node/served_connections.ts";
import { createServer } from "../base/node/tls.ts";
import { findOperator } from "./operator_credentials.ts";
import type { Security } from "./security.ts";

/** The answer of a route; `body` is sent as JSON. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A request as passed to a route. */
export interface OperatorRequest {
  readonly query: URLSearchParams;
  /** Parsed JSON; undefined if the request has no body. */
  readonly body: unknown;
  /**
   * Name of the operator: by the bearer token for a change where credentials
   * are configured, else from the `basilpin-operator` header, which is not
   * verified.
   */
  readonly operator: string;
}

/** Handles the requests of one method and path. */
export type OperatorRoute = (
  request: OperatorRequest,
) => OperatorAnswer | Promise<OperatorAnswer>;

/** Options of the listener. */
export interface OperatorServerOptions {
  readonly address: ListenAddress;
  readonly security: Pick<Security, "tls" | "credentials">;
  /** Routes by method and path, such as `GET /status`. */
  readonly routes: ReadonlyMap<string, OperatorRoute>;
  readonly answerScrape: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>;
}

/** Throws on invalid UTF-8 rather than substituting replacement characters. */
const UTF8 = new TextDecoder("utf-8", { fatal: true });
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Longest wait for the requests in progress when the listener closes. */
const MAX_CLOSE_WAIT_MS = 500;

/** Serves status, timeline, metrics and, in the control role, the table. */
export class OperatorServer implements AsyncDisposable {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;
  readonly #connections: ServedConnections;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    const { tls } = options.security;
    const server = { ...REQUEST_LIMITS, tls, isMutual: false };
    this.#server = createServer(server, (request, response) => {
      if (this.#connections.accept(request, response)) {
        this.#handleRequest(request, response).catch(() => response.destroy());
      }
    });
    refuseMalformed(this.#server);
    this.#connections = new ServedConnections(this.#server);
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#server, this.#options.address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#connections.close();
    await this.#connections.waitForClose(MAX_CLOSE_WAIT_MS);
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://operator");
    if (request.method === "GET" && url.pathname === "/metrics") {
      await this.#options.answerScrape(request, response);
      return;
    }
    const operator = this.#readOperator(request);
    if (operator === undefined) {
      request.resume();
      writeJson(
        response,
        createUnauthorizedAnswer(request.headers.authorization),
      );
      return;
    }
    const name = `${request.method} ${url.pathname}`;
    const route = this.#options.routes.get(name);
    const body = await readJson(request, response);
    const answer = route === undefined
      ? createNotFoundAnswer(name, [...this.#options.routes.keys()])
      : "refusal" in body
      ? body.refusal
      : await route({
        query: url.searchParams,
        body: body.value,
        operator,
      });
    writeJson(response, answer);
  }

  /** Returns the operator; undefined for a change without a valid token. */
  #readOperator(request: IncomingMessage): string | undefined {
    const { credentials } = this.#options.security;
    const isRead = request.method === "GET" || request.method === "HEAD";
    return credentials === undefined || isRead
      ? String(request.headers["basilpin-operator"] ?? "unknown")
      : findOperator(credentials, request.headers.authorization);
  }
}

function writeJson(response: ServerResponse, answer: OperatorAnswer): void {
  const isDenied = answer.status === 401;
  const text = `${JSON.stringify(answer.body)}\n`;
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...(isDenied ? { "www-authenticate": "Bearer" } : {}),
  });
  response.end(text);
}

function createUnauthorizedAnswer(header: string | undefined): OperatorAnswer {
  const message = header === undefined
    ? "A change needs an operator's token, and none was sent"
    : "No operator has this token";
  return { status: 401, body: { message } };
}

function createNotFoundAnswer(
  name: string,
  routes: readonly string[],
): OperatorAnswer {
  const message = `No route ${name}; there are: ${routes.join(", ")}`;
  return { status: 404, body: { message } };
}

/** A parsed body, or the answer to an invalid one. */
type ParsedBody =
  | { readonly value: unknown }
  | { readonly refusal: OperatorAnswer };

async function readJson(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<ParsedBody> {
  const result = await readBody(request, {
    maxBytes: MAX_BODY_BYTES,
    maxMs: BODY_TIMEOUT_MS,
  });
  switch (result.type) {
    case "Whole":
      return parseJson(result.body);
    case "TooLarge":
      response.shouldKeepAlive = false;
      return createRefusal(413, `Body exceeds ${MAX_BODY_BYTES} bytes`);
    case "TooManyPieces":
      closeAfter(request, response);
      return createRefusal(408, "Body comes in too many small pieces");
    case "TooLate":
      response.shouldKeepAlive = false;
      return createRefusal(408, "Body did not come in time");
    case "NoRoom":
    case "Broken":
      throw new Error("The body did not arrive completely");
  }
}

function parseJson(bytes: Uint8Array): ParsedBody {
  if (bytes.length === 0) {
    return { value: undefined };
  }
  try {
    const text = UTF8.decode(bytes);
    const value: unknown = JSON.parse(text);
    return findRepeatedName(text) === undefined
      ? { value }
      : createRefusal(400, "Body has a name twice in one object");
  } catch {
    return createRefusal(400, "Body is not JSON in UTF-8");
  }
}

function createRefusal(status: number, message: string): ParsedBody {
  return { refusal: { status, body: { message } } };
}
