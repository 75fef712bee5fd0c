/**
 * One process of open-loop load. Sends root requests at planned times, without
 * waiting for earlier ones, and prints their outcomes as JSON.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { Agent, request } from "undici";
import { createRandom, pickWeighted, planArrivals } from "./arrivals.ts";
import type { LoadPhase, Random } from "./arrivals.ts";
import type { RootOutcome } from "./outcomes.ts";
import { findKind, WORKLOADS } from "./workload.ts";
import type { WorkloadKind } from "./workload.ts";

/** The one argument of this program, as JSON. */
export interface LoadPlan {
  readonly workload: string;
  readonly phases: readonly LoadPhase[];
  readonly seed: number;
  /** Addresses that accept root requests, by kind of request. */
  readonly entries: Readonly<Record<string, readonly string[]>>;
  /** Most times that a caller resends a request, without delay. */
  readonly resends: number;
  /** Epoch milliseconds at which the first phase starts. */
  readonly startAtMs: number;
}

type SendResult = Pick<RootOutcome, "result" | "refusedBy">;

const REFUSED_STATUSES: readonly number[] = [429, 503];
/** Waits up to this long are skipped; the request is sent early. */
const MIN_WAIT_MS = 1;

const plan = JSON.parse(process.argv[2]!) as LoadPlan;
const workload = WORKLOADS.find(({ name }) => name === plan.workload)!;
const random = createRandom(plan.seed);
const agent = new Agent({ connections: 4_096, pipelining: 1 });
const outcomes: RootOutcome[] = [];
/** Start of the first phase, on the clock of `performance.now`. */
const originMs = plan.startAtMs - Date.now() + performance.now();

function pickEntry(kind: WorkloadKind, draw: Random): string {
  const addresses = plan.entries[kind.kind]!;
  return addresses[Math.floor(draw() * addresses.length)]!;
}

async function sendOnce(
  kind: WorkloadKind,
  path: string,
  key: string,
  timeoutMs: number,
): Promise<SendResult> {
  const body = kind.bodyBytes === 0 ? null : "b".repeat(kind.bodyBytes);
  const needsKey = kind.method === "POST";
  try {
    const answer = await request(`http://${pickEntry(kind, random)}${path}`, {
      method: kind.method,
      dispatcher: agent,
      headers: needsKey ? { "idempotency-key": key } : {},
      body,
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    const text = await answer.body.text();
    if (answer.statusCode === 200) {
      const isComplete = isCompleteAnswer(text, kind, path, key);
      return { result: isComplete ? "whole" : "failed" };
    }
    return REFUSED_STATUSES.includes(answer.statusCode)
      ? { result: "refused", refusedBy: findRefuser(kind, text) }
      : { result: "failed" };
  } catch (error) {
    const isTimeout = (error as Error).name === "TimeoutError";
    return { result: isTimeout ? "late" : "failed" };
  }
}

/**
 * Finds the service that refused a request. An answer from a backend server
 * lists the statuses of its own calls; an answer from a node has no such list.
 */
function findRefuser(kind: WorkloadKind, text: string): string {
  const refused = /"downstream":(\[[\d,]*\])/.exec(text)?.[1] ?? "[]";
  const statuses = JSON.parse(refused) as readonly number[];
  const index = statuses.findIndex((status) => status >= 400);
  return index < 0
    ? kind.service
    : findKind(workload, kind.calls[index]!).service;
}

/** Checks that the body is the complete answer to this request. */
function isCompleteAnswer(
  text: string,
  kind: WorkloadKind,
  path: string,
  key: string,
): boolean {
  const body = JSON.parse(text) as {
    request: string;
    key: string;
    bodyBytes: number;
    downstream: readonly number[];
  };
  return body.request === `${kind.method} ${path}` &&
    (kind.method === "GET" || body.key === key) &&
    body.bodyBytes === kind.bodyBytes &&
    body.downstream.length === kind.calls.length &&
    body.downstream.every((status) => status === 200);
}

async function sendRoot(arrivedAtMs: number, index: number): Promise<void> {
  const startedAtMs = performance.now() - originMs;
  const shares = workload.kinds.map(({ share }) => share);
  const kind = workload.kinds[pickWeighted(shares, random)]!;
  const id = `${plan.seed}-${index}`;
  const path = kind.path.endsWith("/") ? `${kind.path}${id}` : kind.path;
  let lastResult: SendResult = { result: "late" };
  let sends = 0;
  while (sends <= plan.resends && lastResult.result !== "whole") {
    const remainingMs = kind.timeoutMs - (performance.now() - originMs) +
      startedAtMs;
    if (remainingMs <= 0) {
      break;
    }
    sends += 1;
    lastResult = await sendOnce(kind, path, id, remainingMs);
  }
  outcomes.push({
    kind: kind.kind,
    arrivedAtMs,
    endedAtMs: performance.now() - originMs,
    ...lastResult,
    sends,
    lagMs: startedAtMs - arrivedAtMs,
  });
}

async function sendAll(): Promise<void> {
  const arrivals = planArrivals(plan.phases, createRandom(plan.seed + 1));
  const pending: Promise<void>[] = [];
  for (const [index, atMs] of arrivals.entries()) {
    const waitMs = atMs - (performance.now() - originMs);
    if (waitMs > MIN_WAIT_MS) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    pending.push(sendRoot(atMs, index));
  }
  await Promise.all(pending);
}

await sendAll();
process.stdout.write(JSON.stringify(outcomes));
await agent.destroy();
