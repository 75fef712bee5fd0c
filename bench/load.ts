/** Closed-loop and open-loop load over keep-alive connections, with a histogram. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { createRandom, planArrivals } from "./arrivals.ts";

/** What to send. */
export interface LoadOptions {
  readonly url: string;
  readonly workers: number;
  readonly requests: number;
  /** What each request is sent with; a plain GET where it is left out. */
  readonly createOptions?: () => RequestShape;
}

/** How one request differs from a plain GET. */
export interface RequestShape {
  readonly method: "GET" | "POST";
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Latencies in milliseconds. */
export interface LoadResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  /** Requests that were sent. */
  readonly requests: number;
}

const MICROS = 1_000;
const SEED = 1;
/** Most connections of an open-loop load. */
const MAX_CONNECTIONS = 64;

/** Sends `requests` in all from `workers` loops, one at a time each. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ connections: options.workers, pipelining: 1 });
  const histogram = build({ lowestDiscernibleValue: 1 });
  let left = options.requests;
  let failed = 0;
  const work = async () => {
    while (left > 0) {
      left -= 1;
      const startedAt = performance.now();
      const answer = await request(options.url, {
        dispatcher: agent,
        ...options.createOptions?.(),
      });
      await answer.body.dump();
      const micros = (performance.now() - startedAt) * MICROS;
      histogram.recordValue(Math.max(1, Math.round(micros)));
      failed += answer.statusCode === 200 ? 0 : 1;
    }
  };
  await Promise.all(Array.from({ length: options.workers }, work));
  await agent.close();
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS,
    failed,
    requests: options.requests,
  };
}

/** Requests that come whether or not earlier ones are answered. */
export interface OpenLoadOptions {
  readonly url: string;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly createOptions?: () => RequestShape;
}

/**
 * Sends requests at Poisson arrivals, the same ones in every run. Each is
 * timed from when it was sent: this process's own lateness is left out.
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
    const micros = (performance.now() - startedAt) * MICROS;
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
    p50Ms: histogram.getValueAtPercentile(50) / MICROS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS,
    failed,
    requests: arrivals.length,
  };
}
