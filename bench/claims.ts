/**
 * Measures the latency that claims among nodes add to calls with a key, and the
 * cost of synced appends, which claims in a replicated log would incur.
 */
import {
  closeSync,
  fdatasyncSync,
  openSync,
  writeFileSync,
  writeSync,
} from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { request } from "undici";
import { Fleet } from "../standin/fleet.ts";
import { runLoad } from "./load.ts";
import type { LoadResult } from "./load.ts";
import {
  computeMedian,
  readBenchOptions,
  writeFigures,
  writeReport,
} from "./report.ts";

const REQUESTS = 500;
const WARM_UP = 100;
const DEFAULT_RUNS = 5;
const WORKERS = [1, 16];
const SITES = ["kenitra-a", "kenitra-b", "larache-a", "larache-b"];
const ENTRY_BYTES = 300;
const APPENDS = 500;
const BATCHES = [1, 64, 1_024];
/** Calls per second that the whole system is designed for. */
const TARGET_CALLS = 2_500_000;
/** Shares of calls with a key to compute loads for. */
const KEYED_SHARES = [0.001, 0.01, 0.05];
const SERVICES = 390;
const HOLDERS = 3;
const MICROS_PER_MS = 1_000;
const TABLE_HEADER =
  "kind,service,method,path,weight,importance,concurrency,rate,queue," +
  "timeout_ms,retries,idempotent,key,max_body_bytes,version";
const TABLE = [
  TABLE_HEADER,
  "keyed,custody,POST,/keyed,1,9,70,100000,200,5000,2,no,required,65536,",
  "plain,custody,POST,/plain,1,9,70,100000,200,5000,2,no,none,65536,",
].join("\n");

interface AppendFigure {
  readonly batch: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly entriesPerSecond: number;
}

let nextKey = 0;

function createOptions() {
  const headers = { "idempotency-key": `bench-${nextKey++}` };
  return { method: "POST", headers, body: '{"bale":7}' } as const;
}

async function waitUntilServed(urls: readonly string[]): Promise<void> {
  for (const url of urls) {
    let status = 0;
    while (status !== 200) {
      const answer = await request(url, createOptions());
      await answer.body.dump();
      status = answer.statusCode;
    }
  }
}

/** Measures synced appends of `batch` entries each. */
function measureAppends(folder: string, batch: number): AppendFigure {
  const file = openSync(join(folder, `append-${batch}`), "a");
  const bytes = Buffer.alloc(ENTRY_BYTES * batch, 1);
  const histogram = build({ lowestDiscernibleValue: 1 });
  const startedAt = performance.now();
  for (let i = 0; i < APPENDS; i++) {
    const appendedAt = performance.now();
    writeSync(file, bytes);
    fdatasyncSync(file);
    const micros = (performance.now() - appendedAt) * MICROS_PER_MS;
    histogram.recordValue(Math.max(1, Math.round(micros)));
  }
  const seconds = (performance.now() - startedAt) / 1000;
  closeSync(file);
  return {
    batch,
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    entriesPerSecond: APPENDS * batch / seconds,
  };
}

function formatColumns(values: readonly (string | number)[]): string {
  return values.map((value) =>
    (typeof value === "number" ? value.toFixed(3) : value).padStart(10)
  ).join(" ");
}

const options = readBenchOptions("bench:claims", DEFAULT_RUNS);
await using fleet = new Fleet();
await fleet.startControl("control-a", SITES[0]!);
const behaviour = { serviceMs: 0 };
const nodes = await Promise.all(SITES.map((dataCentre, i) =>
  fleet.startNode({
    id: `custody-${i}`,
    service: "custody",
    dataCentre,
    behaviour,
  })
));
const table = join(fleet.folder, "bench.csv");
writeFileSync(table, `${TABLE}\n`);
const applied = await fleet.run("table", "apply", table, "--wait");
if (applied.exitCode !== 0) {
  throw new Error(applied.stderr);
}
await waitUntilServed(nodes.map((node) => `http://${node.edge}/keyed`));
const figures = [];
writeReport(`medians of ${options.runs} runs of ${REQUESTS} requests, ms`);
writeReport(formatColumns(["workers", "claims", "p50", "p99", "+p50", "+p99"]));
for (const workers of WORKERS) {
  const results: Record<"plain" | "keyed", LoadResult[]> = {
    plain: [],
    keyed: [],
  };
  for (let run = 0; run < options.runs; run++) {
    for (const kind of ["plain", "keyed"] as const) {
      const load = {
        url: `http://${nodes[0]!.edge}/${kind}`,
        workers,
        createOptions,
      };
      await runLoad({ ...load, requests: WARM_UP });
      const result = await runLoad({ ...load, requests: REQUESTS });
      if (result.failed > 0) {
        throw new Error(`${kind}: ${result.failed} requests failed`);
      }
      results[kind].push(result);
    }
  }
  const [off, on] = (["plain", "keyed"] as const).map((kind) => ({
    p50Ms: computeMedian(results[kind].map((result) => result.p50Ms)),
    p99Ms: computeMedian(results[kind].map((result) => result.p99Ms)),
  }));
  const addedP50Ms = on!.p50Ms - off!.p50Ms;
  const addedP99Ms = on!.p99Ms - off!.p99Ms;
  figures.push({ workers, off, on, addedP50Ms, addedP99Ms });
  writeReport(formatColumns([`${workers}`, "off", off!.p50Ms, off!.p99Ms]));
  writeReport(
    formatColumns([
      `${workers}`,
      "on",
      on!.p50Ms,
      on!.p99Ms,
      addedP50Ms,
      addedP99Ms,
    ]),
  );
}
writeReport(`synced appends of ${ENTRY_BYTES}-byte entries, ms`);
writeReport(formatColumns(["batch", "p50", "p99", "entries/s"]));
const appends = BATCHES.map((batch) => measureAppends(fleet.folder, batch));
for (const { batch, p50Ms, p99Ms, entriesPerSecond } of appends) {
  writeReport(
    formatColumns([`${batch}`, p50Ms, p99Ms, entriesPerSecond.toFixed(0)]),
  );
}
writeReport(`at ${TARGET_CALLS} calls a second in ${SERVICES} services`);
writeReport(
  formatColumns(["share", "entries/s", "holder/s", "peer msg/s"]),
);
const loads = KEYED_SHARES.map((share) => {
  const keyed = TARGET_CALLS * share;
  return {
    share,
    /** A claim and an outcome for each call, in one log. */
    logEntriesPerSecond: keyed * 2,
    /** Messages that one holder receives and answers. */
    holderMessagesPerSecond: keyed * 2 / SERVICES,
    peerMessagesPerSecond: keyed * 2 * HOLDERS,
  };
});
for (const load of loads) {
  writeReport(formatColumns([
    load.share,
    load.logEntriesPerSecond.toFixed(0),
    load.holderMessagesPerSecond.toFixed(0),
    load.peerMessagesPerSecond.toFixed(0),
  ]));
}
writeFigures(options, { requests: REQUESTS, figures, appends, loads });
