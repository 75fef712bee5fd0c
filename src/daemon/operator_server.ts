/** The operators' HTTP listener, on either role. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listen, type ListenAddress } from "../base/node/listen.ts";

/** What a route answers. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** What a route is given. */
export interface OperatorRequest {
  readonly query: URLSearchParams;
  /** Parsed JSON; undefined where there was no body. */
  readonly body: unknown;
  readonly operator: string;
}

/** Answers one kind of operator's request. */
export type OperatorRoute = (
  request: OperatorRequest,
) => OperatorAnswer | Promise<OperatorAnswer>;

/** What the listener is built from. */
export interface OperatorServerOptions {
  readonly address: ListenAddress;
  /** Routes by method and path, such as `GET /status`. */
  readonly routes: ReadonlyMap<string, OperatorRoute>;
  readonly answerScrape: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Serves status, time line, metrics and, on control, the table. */
export class OperatorServer implements AsyncDisposable {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#receive(request, response).catch(() => response.destroy());
    });
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#server, this.#options.address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://operator");
    if (request.method === "GET" && url.pathname === "/metrics") {
      this.#options.answerScrape(request, response);
      return;
    }
    const name = `${request.method} ${url.pathname}`;
    const route = this.#options.routes.get(name);
    const body = await readBody(request);
    const answer = route === undefined
      ? createNotFound(name, [...this.#options.routes.keys()])
      : "malformed" in body
      ? { status: 400, body: { message: "Body is not JSON" } }
      : await route({
        query: url.searchParams,
        body: body.value,
        operator: String(request.headers["basilpin-operator"] ?? "unknown"),
      });
    const text = `${JSON.stringify(answer.body)}\n`;
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}

function createNotFound(
  name: string,
  routes: readonly string[],
): OperatorAnswer {
  const message = `No route ${name}; there are: ${routes.join(", ")}`;
  return { status: 404, body: { message } };
}

type Body = { readonly value: unknown } | { readonly malformed: true };

async function readBody(request: IncomingMessage): Promise<Body> {
  const chunks: Uint8Array[] = [];
  let total = 0;
  for await (const chunk of request) {
    total += (chunk as Uint8Array).length;
    if (total > MAX_BODY_BYTES) {
      return { malformed: true };
    }
    chunks.push(chunk as Uint8Array);
  }
  if (total === 0) {
    return { value: undefined };
  }
  try {
    return { value: JSON.parse(Buffer.concat(chunks).toString("utf8")) };
  } catch {
    return { malformed: true };
  }
}
