/** Added latency of one hop and of two against a direct call, in one run. */
import { Fleet } from "../standin/fleet.ts";
import { readProcessCpuMs } from "./cpu.ts";
import { runLoad, runOpenLoad } from "./load.ts";
import type { LoadResult } from "./load.ts";
import {
  computeMedian,
  readBenchOptions,
  writeFigures,
  writeReport,
} from "./report.ts";

const WARM_UP = 1_000;
const DEFAULT_RUNS = 5;
const TABLE = "examples/coton-loukkos/table.csv";

/** One table of the report. */
interface Load {
  readonly name: string;
  readonly run: (url: string) => Promise<LoadResult>;
  readonly requests: number;
}

const REQUESTS = 3_000;
/** Under the rate of the row, and well under what one node carries. */
const PER_SECOND = 500;
const DURATION_MS = 6_000;

/** One caller that waits for each answer, and many that don't. */
const LOADS: readonly Load[] = [
  {
    name: "one at a time",
    run: (url) => runLoad({ url, workers: 1, requests: REQUESTS }),
    requests: REQUESTS,
  },
  {
    name: `${PER_SECOND} a second, Poisson`,
    run: (url) =>
      runOpenLoad({ url, perSecond: PER_SECOND, durationMs: DURATION_MS }),
    requests: PER_SECOND * DURATION_MS / 1_000,
  },
];

interface Figure {
  readonly path: string;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly ratioP50: number;
  /** Processor time of both nodes for one call, in microseconds. */
  readonly nodeCpuMicros: number;
}

interface HopResult extends LoadResult {
  readonly nodeCpuMicros: number;
}

const options = readBenchOptions("bench:hop", DEFAULT_RUNS);
await using fleet = new Fleet({ isTls: options.isTls });
await fleet.startControl("control-a", "kenitra-a");
const common = {
  dataCentre: "kenitra-a",
  behaviour: { serviceMs: 0 },
  flags: options.profile === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${options.profile}`],
};
const backend = await fleet.startNode({
  ...common,
  id: "provenance-1",
  service: "provenance",
});
const other = await fleet.startNode({
  ...common,
  id: "custody-1",
  service: "custody",
});
await fleet.run("table", "apply", TABLE, "--wait");
const paths = [
  { path: "direct", url: `http://${backend.backendAddress}/bales/1` },
  { path: "one node", url: `http://${backend.edge}/bales/1` },
  { path: "two nodes", url: `http://${other.edge}/bales/1` },
];

function readNodeCpuMs(): number {
  return readProcessCpuMs(backend.child.pid!) +
    readProcessCpuMs(other.child.pid!);
}

async function measurePath(url: string, load: Load): Promise<HopResult> {
  await runLoad({ url, workers: 1, requests: WARM_UP });
  const cpuMs = readNodeCpuMs();
  const result = await load.run(url);
  if (result.failed > 0) {
    throw new Error(`${url}: ${result.failed} requests failed`);
  }
  const nodeCpuMicros = (readNodeCpuMs() - cpuMs) / result.requests * 1_000;
  return { ...result, nodeCpuMicros };
}

/** Takes the paths in turn, so that a busy spell meets all of them. */
async function measureLoad(load: Load): Promise<readonly Figure[]> {
  const results = paths.map((): HopResult[] => []);
  for (let run = 0; run < options.runs; run++) {
    for (const [at, { url }] of paths.entries()) {
      results[at]!.push(await measurePath(url, load));
    }
  }
  const medians = paths.map(({ path }, at) => ({
    path,
    p50Ms: computeMedian(results[at]!.map((result) => result.p50Ms)),
    p99Ms: computeMedian(results[at]!.map((result) => result.p99Ms)),
    nodeCpuMicros: computeMedian(
      results[at]!.map((result) => result.nodeCpuMicros),
    ),
  }));
  const direct = medians[0]!;
  return medians.map((median) => ({
    ...median,
    addedP50Ms: median.p50Ms - direct.p50Ms,
    addedP99Ms: median.p99Ms - direct.p99Ms,
    ratioP50: median.p50Ms / direct.p50Ms,
  }));
}

function writeTable(load: Load, figures: readonly Figure[]): void {
  const { name, requests } = load;
  writeReport(
    `medians of ${options.runs} runs of ${requests} requests, ms, ${name}` +
      (options.isTls ? ", TLS between the nodes" : ""),
  );
  writeReport("path        p50    p99   +p50   +p99  ratio p50  node us/call");
  for (const figure of figures) {
    writeReport([
      figure.path.padEnd(9),
      figure.p50Ms.toFixed(3).padStart(6),
      figure.p99Ms.toFixed(3).padStart(6),
      figure.addedP50Ms.toFixed(3).padStart(6),
      figure.addedP99Ms.toFixed(3).padStart(6),
      figure.ratioP50.toFixed(2).padStart(6),
      figure.nodeCpuMicros.toFixed(0).padStart(13),
    ].join(" "));
  }
}

const tables: { readonly name: string; readonly figures: unknown }[] = [];
for (const load of LOADS) {
  const figures = await measureLoad(load);
  writeTable(load, figures);
  tables.push({ name: load.name, figures });
}
writeFigures(options, {
  requests: REQUESTS,
  runs: options.runs,
  isTls: options.isTls,
  tables,
});
if (options.profile !== undefined) {
  // A profile is written only where its process ends by itself.
  await Promise.all([fleet.stop(backend), fleet.stop(other)]);
}
