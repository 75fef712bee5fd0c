/** Added latency of one hop and of two against a direct call, in one run. */
import { Fleet } from "../standin/fleet.ts";
import { readProcessCpuMs } from "./cpu.ts";
import { runLoad } from "./load.ts";
import type { LoadResult } from "./load.ts";
import {
  computeMedian,
  readBenchOptions,
  writeFigures,
  writeReport,
} from "./report.ts";

const REQUESTS = 3_000;
const WARM_UP = 1_000;
const WORKERS = 1;
const DEFAULT_RUNS = 5;
const TABLE = "examples/coton-loukkos/table.csv";

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
const behaviour = { serviceMs: 0 };
const backend = await fleet.startNode({
  id: "provenance-1",
  service: "provenance",
  dataCentre: "kenitra-a",
  behaviour,
});
const other = await fleet.startNode({
  id: "custody-1",
  service: "custody",
  dataCentre: "kenitra-a",
  behaviour,
});
await fleet.run("table", "apply", TABLE, "--wait");
const paths = [
  { path: "direct", url: `http://${backend.backendAddress}/bales/1` },
  { path: "one node", url: `http://${backend.edge}/bales/1` },
  { path: "two nodes", url: `http://${other.edge}/bales/1` },
];
const results = new Map<string, HopResult[]>();

function readNodeCpuMs(): number {
  return readProcessCpuMs(backend.child.pid!) +
    readProcessCpuMs(other.child.pid!);
}

for (let run = 0; run < options.runs; run++) {
  for (const { path, url } of paths) {
    await runLoad({ url, workers: WORKERS, requests: WARM_UP });
    const cpuMs = readNodeCpuMs();
    const result = await runLoad({ url, workers: WORKERS, requests: REQUESTS });
    const nodeCpuMicros = (readNodeCpuMs() - cpuMs) / REQUESTS * 1_000;
    if (result.failed > 0) {
      throw new Error(`${path}: ${result.failed} requests failed`);
    }
    results.set(path, [
      ...(results.get(path) ?? []),
      { ...result, nodeCpuMicros },
    ]);
  }
}
const medians = paths.map(({ path }) => ({
  path,
  p50Ms: computeMedian(results.get(path)!.map((result) => result.p50Ms)),
  p99Ms: computeMedian(results.get(path)!.map((result) => result.p99Ms)),
  nodeCpuMicros: computeMedian(
    results.get(path)!.map((result) => result.nodeCpuMicros),
  ),
}));
const direct = medians[0]!;
const figures: readonly Figure[] = medians.map((median) => ({
  ...median,
  addedP50Ms: median.p50Ms - direct.p50Ms,
  addedP99Ms: median.p99Ms - direct.p99Ms,
  ratioP50: median.p50Ms / direct.p50Ms,
}));
writeReport(
  `medians of ${options.runs} runs of ${REQUESTS} requests, ms` +
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
writeFigures(options, {
  requests: REQUESTS,
  runs: options.runs,
  isTls: options.isTls,
  figures,
});
