/**
 * A stand-in backend server: slots, service time, cold start, drain, shedding,
 * crashes, freezes, a load endpoint that may mislead, and downstream calls
 * that copy the request context. One small HTTP server; used by tests, the
 * demo and the benches.
 */
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Command } from "commander";
import { Agent, request as send } from "undici";
import { CONTEXT_HEADER } from "../src/engine/call/common/call_context.ts";

/** What `POST /standin/behaviour` changes while the stand-in runs. */
export interface Behaviour {
  /** Time that one request takes, in milliseconds. */
  readonly serviceMs: number;
  /** Service time is this many times longer just after the start. */
  readonly coldFactor: number;
  /** How long the cold start lasts, in milliseconds. */
  readonly coldMs: number;
  /** Requests beyond `slots` wait; beyond this many they get 503. */
  readonly queue: number;
  /** Takes requests and never answers. */
  readonly isFrozen: boolean;
  /** Goes on when whoever called has left. */
  readonly ignoresCancel: boolean;
  /** Path prefix of requests that end the process; empty for none. */
  readonly crashPath: string;
  /** What `GET /load` reports; undefined for the truth. */
  readonly reportedLoad: number | undefined;
  /** `GET /load` never answers. */
  readonly isLoadFrozen: boolean;
  /** What `GET /health` reports. */
  readonly isHealthy: boolean;
}

/** What `GET /standin/runs` reports. */
export interface RunReport {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
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
  /** JSON: paths called downstream by method and path prefix. */
  readonly downstream: string;
  /** JSON: addresses called without a node, by path prefix. */
  readonly direct: string;
}

const options = new Command("backend")
  .requiredOption("--listen <address>", "host:port")
  .option("--egress <address>", "egress listener of the node beside it", "")
  .option("--slots <count>", "requests run at a time", "50")
  .option("--behaviour <json>", "see Behaviour", "{}")
  .option("--downstream <json>", "see Downstream", "{}")
  .option("--direct <json>", "addresses called without a node", "{}")
  .parse().opts<Options>();

const slots = Number(options.slots);
const startedAtMs = Date.now();
const downstream = JSON.parse(options.downstream) as Record<string, string[]>;
const direct = JSON.parse(options.direct) as Record<string, string[]>;
const agent = new Agent({ connections: 256 });
const waiting: (() => void)[] = [];
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

async function takeSlot(): Promise<boolean> {
  if (counts.running < slots) {
    counts.running += 1;
    return true;
  }
  if (waiting.length >= behaviour.queue) {
    return false;
  }
  await new Promise<void>((resolve) => waiting.push(resolve));
  return true;
}

/** Hands the slot to the next in line, or frees it. */
function releaseSlot(): void {
  const next = waiting.shift();
  if (next === undefined) {
    counts.running -= 1;
    return;
  }
  next();
}

function computeServiceMs(request: IncomingMessage): number {
  const wanted = request.headers["x-standin-ms"];
  const isCold = Date.now() - startedAtMs < behaviour.coldMs;
  const factor = isCold ? behaviour.coldFactor : 1;
  return Number(wanted ?? behaviour.serviceMs) * factor;
}

/** The egress of the node beside it, or a random address of `--direct`. */
function findTarget(path: string): string {
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
    const answer = await send(`http://${findTarget(path)}${path}`, {
      dispatcher: agent,
      signal,
      headers: context === undefined ? {} : { [CONTEXT_HEADER]: context },
    });
    await answer.body.dump();
    return answer.statusCode;
  }));
}

async function run(
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

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (behaviour.crashPath && request.url!.startsWith(behaviour.crashPath)) {
    process.exit(9);
  }
  if (behaviour.isFrozen) {
    return;
  }
  const cancel = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished && !behaviour.ignoresCancel) {
      cancel.abort();
    }
  });
  if (!await takeSlot()) {
    writeJson(response, 503, { message: "Backend server sheds load" });
    return;
  }
  try {
    await run(request, response, cancel.signal);
  } catch {
    counts.cancelled += 1;
    response.destroy();
  } finally {
    releaseSlot();
  }
}

async function answerStandin(
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
      return await serve(request, response);
  }
}

const [host, port] = options.listen.split(":");
const server = createServer((request, response) => {
  answerStandin(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => {
  process.stdout.write(`backend ${options.listen} is up\n`);
});
process.on("SIGTERM", () => {
  server.close(() => process.exit(0));
  server.closeIdleConnections();
});
