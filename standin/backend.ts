/**
 * A stand-in backend server for tests, demos and benchmarks: an HTTP server
 * that simulates slots, service time, cold start, drain, load shedding,
 * crashes, freezes, a wrong load report, and downstream calls that copy the
 * request context.
 */
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Command } from "commander";
import { Agent, request as send } from "undici";
import { CONTEXT_HEADER } from "../src/engine/call/common/call_context.ts";

/** Behaviour of the stand-in, as `POST /standin/behaviour` changes it. */
export interface Behaviour {
  /** Service time of a request in milliseconds. */
  readonly serviceMs: number;
  /** Factor of the service time during the cold start. */
  readonly coldFactor: number;
  /** Duration of the cold start in milliseconds. */
  readonly coldMs: number;
  /** Maximum number of requests that wait for a slot; further ones get 503. */
  readonly queue: number;
  /** Whether requests are accepted and never answered. */
  readonly isFrozen: boolean;
  /** Whether a request continues to run after its caller has disconnected. */
  readonly ignoresCancel: boolean;
  /** Path prefix of requests that crash the process; empty for none. */
  readonly crashPath: string;
  /** Load that `GET /load` reports; undefined for the actual one. */
  readonly reportedLoad: number | undefined;
  /** Whether `GET /load` is never answered. */
  readonly isLoadFrozen: boolean;
  /** Health that `GET /health` reports. */
  readonly isHealthy: boolean;
}

/** The answer of `GET /standin/runs`. */
export interface RunReport {
  /** Requests whose run has started since the process started. */
  readonly started: number;
  readonly finished: number;
  /** Runs aborted by the caller's disconnect or by a connection error. */
  readonly cancelled: number;
  /** Slots in use. */
  readonly running: number;
  /** Runs by `Idempotency-Key`, or by path where there is none. */
  readonly byKey: Readonly<Record<string, number>>;
}

const INITIAL_BEHAVIOUR: Behaviour = {
  serviceMs: 5,
  coldFactor: 1,
  coldMs: 0,
  queue: 1_000,
  isFrozen: false,
  ignoresCancel: false,
  crashPath: "",
  reportedLoad: undefined,
  isLoadFrozen: false,
  isHealthy: true,
};

interface Options {
  readonly listen: string;
  readonly egress: string;
  readonly slots: string;
  readonly behaviour: string;
  /** JSON: downstream paths that a request calls, by method and path prefix. */
  readonly downstream: string;
  /** JSON: addresses that are called without a node, by path prefix. */
  readonly direct: string;
}

const options = new Command("backend")
  .requiredOption("--listen <address>", "host:port")
  .option("--egress <address>", "egress listener of its node", "")
  .option("--slots <count>", "maximum number of concurrent requests", "50")
  .option("--behaviour <json>", "initial behaviour, see Behaviour", "{}")
  .option(
    "--downstream <json>",
    "downstream paths by method and path prefix",
    "{}",
  )
  .option(
    "--direct <json>",
    "addresses called without a node, by path prefix",
    "{}",
  )
  .parse().opts<Options>();

const slots = Number(options.slots);
const startedAtMs = Date.now();
const downstream = JSON.parse(options.downstream) as Record<string, string[]>;
const direct = JSON.parse(options.direct) as Record<string, string[]>;
const agent = new Agent({ connections: 256 });
const slotQueue: (() => void)[] = [];
const byKey = new Map<string, number>();
const counts = { started: 0, finished: 0, cancelled: 0, running: 0 };
let behaviour: Behaviour = {
  ...INITIAL_BEHAVIOUR,
  ...JSON.parse(options.behaviour),
};

function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks);
}

async function acquireSlot(): Promise<boolean> {
  if (counts.running < slots) {
    counts.running += 1;
    return true;
  }
  if (slotQueue.length >= behaviour.queue) {
    return false;
  }
  await new Promise<void>((resolve) => slotQueue.push(resolve));
  return true;
}

/** Passes the slot to the next queued request, or frees it. */
function releaseSlot(): void {
  const next = slotQueue.shift();
  if (next === undefined) {
    counts.running -= 1;
    return;
  }
  next();
}

/** The header `x-standin-ms` overrides the service time of the behaviour. */
function computeServiceMs(request: IncomingMessage): number {
  const requestedMs = request.headers["x-standin-ms"];
  const isCold = Date.now() - startedAtMs < behaviour.coldMs;
  const factor = isCold ? behaviour.coldFactor : 1;
  return Number(requestedMs ?? behaviour.serviceMs) * factor;
}

/** Selects a random address of `--direct`, or the node's egress listener. */
function selectTarget(path: string): string {
  const prefix = Object.keys(direct).find((key) => path.startsWith(key));
  const addresses = prefix === undefined ? [] : direct[prefix]!;
  const index = Math.floor(Math.random() * addresses.length);
  return addresses[index] ?? options.egress;
}

async function callDownstream(
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<readonly number[]> {
  const line = `${request.method} ${request.url}`;
  const prefix = Object.keys(downstream).find((key) => line.startsWith(key));
  const paths = prefix === undefined ? [] : downstream[prefix]!;
  const context = request.headers[CONTEXT_HEADER];
  return await Promise.all(paths.map(async (path) => {
    const answer = await send(`http://${selectTarget(path)}${path}`, {
      dispatcher: agent,
      signal,
      headers: context === undefined ? {} : { [CONTEXT_HEADER]: context },
    });
    await answer.body.dump();
    return answer.statusCode;
  }));
}

/**
 * Runs a request. The header `x-standin-bytes` sets the size of the answer's
 * filler; `x-standin-cut` truncates the answer by closing the connection.
 */
async function runRequest(
  request: IncomingMessage,
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  const body = await readBody(request);
  const key = String(request.headers["idempotency-key"] ?? request.url);
  counts.started += 1;
  byKey.set(key, (byKey.get(key) ?? 0) + 1);
  const serviceMs = computeServiceMs(request);
  if (serviceMs > 0) {
    await sleep(serviceMs, undefined, { signal });
  }
  const statuses = await callDownstream(request, signal);
  const failed = statuses.find((status) => status >= 400);
  const filler = "x".repeat(Number(request.headers["x-standin-bytes"] ?? 0));
  if (request.headers["x-standin-cut"] !== undefined) {
    response.writeHead(200, { "content-length": "1000" });
    response.write("cut");
    setTimeout(() => response.destroy(), 20);
    return;
  }
  counts.finished += 1;
  writeJson(response, failed ?? 200, {
    backend: options.listen,
    request: `${request.method} ${request.url}`,
    key,
    bodyBytes: body.length,
    bodyDigest: createHash("sha256").update(body).digest("hex").slice(0, 16),
    downstream: statuses,
    filler,
  });
}

async function serveRequest(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (behaviour.crashPath && request.url!.startsWith(behaviour.crashPath)) {
    process.exit(9);
  }
  if (behaviour.isFrozen) {
    return;
  }
  const controller = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished && !behaviour.ignoresCancel) {
      controller.abort();
    }
  });
  if (!await acquireSlot()) {
    writeJson(response, 503, { message: "Backend server sheds load" });
    return;
  }
  try {
    await runRequest(request, response, controller.signal);
  } catch {
    counts.cancelled += 1;
    response.destroy();
  } finally {
    releaseSlot();
  }
}

/** Answers the stand-in's own endpoints, and serves all other requests. */
async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  switch (request.url) {
    case "/health": {
      const { isHealthy } = behaviour;
      return writeJson(response, isHealthy ? 200 : 503, { isHealthy });
    }
    case "/load": {
      if (behaviour.isLoadFrozen) {
        return;
      }
      const load = behaviour.reportedLoad ?? counts.running / slots;
      return writeJson(response, 200, { load });
    }
    case "/standin/behaviour":
      behaviour = {
        ...behaviour,
        ...JSON.parse((await readBody(request)).toString()),
      };
      return writeJson(response, 200, behaviour);
    case "/standin/runs":
      return writeJson(response, 200, {
        ...counts,
        byKey: Object.fromEntries(byKey),
      });
    default:
      return await serveRequest(request, response);
  }
}

const [host, port] = options.listen.split(":");
const server = createServer((request, response) => {
  handleRequest(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => {
  process.stdout.write(`backend ${options.listen} is up\n`);
});
process.on("SIGTERM", () => {
  server.close(() => process.exit(0));
  server.closeIdleConnections();
});
