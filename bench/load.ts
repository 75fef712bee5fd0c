/** Closed-loop and open-loop load over keep-alive connections. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { createRandom, planArrivals } from "./arrivals.ts";

/** Closed-loop load: each worker sends its next request after an answer. */
export interface LoadOptions {
  readonly url: string;
  readonly workers: number;
  /** Number of requests of all workers together. */
  readonly requests: number;
  /** Creates the form of each request; plain GET requests if undefined. */
  readonly createOptions?: () => RequestShape;
}

/** Method, headers and body of one request. */
export interface RequestShape {
  readonly method: "GET" | "POST";
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Latencies in milliseconds. */
export interface LoadResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Number of answers with a status other than 200. */
  readonly failed: number;
  /** Number of requests sent. */
  readonly requests: number;
}

const MICROS_PER_MS = 1_000;
const SEED = 1;
/** Largest number of connections of an open-loop load. */
const MAX_CONNECTIONS = 64;

/** Sends `requests` requests from `workers` concurrent loops. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ connections: options.workers, pipelining: 1 });
  const histogram = build({ lowestDiscernibleValue: 1 });
  let remaining = options.requests;
  let failed = 0;
  const runWorker = async () => {
    while (remaining > 0) {
      remaining -= 1;
      const startedAt = performance.now();
      const answer = await request(options.url, {
        dispatcher: agent,
        ...options.createOptions?.(),
      });
      await answer.body.dump();
      const micros = (performance.now() - startedAt) * MICROS_PER_MS;
      histogram.recordValue(Math.max(1, Math.round(micros)));
      failed += answer.statusCode === 200 ? 0 : 1;
    }
  };
  await Promise.all(Array.from({ length: options.workers }, runWorker));
  await agent.close();
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    failed,
    requests: options.requests,
  };
}

/** Open-loop load: requests are sent whether or not earlier ones are answered. */
export interface OpenLoadOptions {
  readonly url: string;
  /** Mean requests per second. */
  readonly perSecond: number;
  readonly durationMs: number;
  readonly createOptions?: () => RequestShape;
}

/**
 * Sends requests at Poisson arrivals, which are the same in every run. Latency
 * counts from the actual send, so delays of this process are excluded.
 */
export async function runOpenLoad(
  options: OpenLoadOptions,
): Promise<LoadResult> {
  const agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 });
  const histogram = build({ lowestDiscernibleValue: 1 });
  const arrivals = planArrivals([options], createRandom(SEED));
  let failed = 0;
  const send = async () => {
    const startedAt = performance.now();
    const answer = await request(options.url, {
      dispatcher: agent,
      ...options.createOptions?.(),
    });
    await answer.body.dump();
    const micros = (performance.now() - startedAt) * MICROS_PER_MS;
    histogram.recordValue(Math.max(1, Math.round(micros)));
    failed += answer.statusCode === 200 ? 0 : 1;
  };
  const startMs = performance.now();
  const sent: Promise<void>[] = [];
  for (const atMs of arrivals) {
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    sent.push(send());
  }
  await Promise.all(sent);
  await agent.close();
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    failed,
    requests: arrivals.length,
  };
}
