/**
 * The baseline for comparisons: a proxy beside each backend server, with a
 * fixed concurrency limit, a FIFO queue, and immediate retries at every hop.
 */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { Command } from "commander";
import { Agent, request as send } from "undici";

interface Options {
  /** `host:port` for callers and the local backend server. */
  readonly listen: string;
  /** `host:port` for other proxies. */
  readonly ingress: string;
  readonly backend: string;
  /** Maximum number of concurrent requests. */
  readonly limit: string;
  /** Maximum number of queued requests. */
  readonly queue: string;
  /** Maximum number of retries of a call. */
  readonly retries: string;
  /** JSON: ingress addresses by path prefix. */
  readonly routes: string;
}

interface Reply {
  readonly status: number;
  readonly body: Uint8Array | string;
}

const options = new Command("plain_proxy")
  .requiredOption("--listen <address>", "host:port for callers")
  .requiredOption("--ingress <address>", "host:port for other proxies")
  .requiredOption("--backend <address>", "host:port of the backend server")
  .option("--limit <count>", "maximum number of concurrent requests", "50")
  .option("--queue <count>", "maximum number of queued requests", "100")
  .option("--retries <count>", "immediate retries at each hop", "3")
  .option("--routes <json>", "ingress addresses by path prefix", "{}")
  .parse().opts<Options>();

const routes = JSON.parse(options.routes) as Record<string, string[]>;
const agent = new Agent({ connections: 1_024 });
const slotQueue: (() => void)[] = [];
let running = 0;

async function forward(
  address: string,
  request: IncomingMessage,
  body: Uint8Array,
  signal: AbortSignal,
): Promise<Reply> {
  const key = request.headers["idempotency-key"];
  const answer = await send(`http://${address}${request.url}`, {
    method: request.method as "GET" | "POST",
    dispatcher: agent,
    signal,
    headers: key === undefined ? {} : { "idempotency-key": key },
    body: body.length === 0 ? null : body,
  });
  const bytes = new Uint8Array(await answer.body.arrayBuffer());
  return { status: answer.statusCode, body: bytes };
}

/**
 * Forwards a call to a random proxy, and retries immediately on a status of 500
 * or above and on a connection error.
 */
async function callWithRetries(
  request: IncomingMessage,
  body: Uint8Array,
  signal: AbortSignal,
): Promise<Reply> {
  const prefix = Object.keys(routes).find((key) =>
    request.url!.startsWith(key)
  );
  const addresses = routes[prefix ?? ""] ?? [];
  let reply: Reply = { status: 502, body: "No backend server answered" };
  for (let attempt = 0; attempt <= Number(options.retries); attempt++) {
    const address = addresses[Math.floor(Math.random() * addresses.length)]!;
    try {
      reply = await forward(address, request, body, signal);
    } catch {
      if (signal.aborted) {
        return reply;
      }
    }
    if (reply.status < 500) {
      return reply;
    }
  }
  return reply;
}

async function acquireSlot(): Promise<boolean> {
  if (running < Number(options.limit)) {
    running += 1;
    return true;
  }
  if (slotQueue.length >= Number(options.queue)) {
    return false;
  }
  await new Promise<void>((resolve) => slotQueue.push(resolve));
  return true;
}

function releaseSlot(): void {
  const next = slotQueue.shift();
  if (next === undefined) {
    running -= 1;
    return;
  }
  next();
}

async function runLimited(
  request: IncomingMessage,
  body: Uint8Array,
  signal: AbortSignal,
): Promise<Reply> {
  if (!await acquireSlot()) {
    return { status: 503, body: "Queue is full" };
  }
  try {
    signal.throwIfAborted();
    return await forward(options.backend, request, body, signal);
  } finally {
    releaseSlot();
  }
}

type RequestHandler = typeof runLimited;

async function handleRequest(
  handle: RequestHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const controller = new AbortController();
  response.on("close", () => controller.abort());
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Uint8Array);
  }
  const reply = await handle(request, Buffer.concat(chunks), controller.signal);
  response.writeHead(reply.status, {
    "content-length": Buffer.byteLength(reply.body),
  });
  response.end(reply.body);
}

async function openListener(
  address: string,
  handle: RequestHandler,
): Promise<void> {
  const [host, port] = address.split(":");
  const server = createServer((request, response) => {
    handleRequest(handle, request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => {
    server.listen(Number(port), host, resolve);
  });
}

await openListener(options.ingress, runLimited);
await openListener(options.listen, callWithRetries);
process.stdout.write(`plain proxy ${options.listen} is up\n`);
process.on("SIGTERM", () => process.exit(0));
