/** Closed-loop load over keep-alive connections, with a histogram. */
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { Agent, request } from "undici";

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
}

const MICROS = 1_000;

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
  };
}
