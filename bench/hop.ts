/**
 * Measures the latency that one node and two nodes add to a direct call, over
 * HTTP and over framed links, in one run.
 */
import { createHopPaths } from "../platform/bench/hop_paths.ts";
import { Fleet } from "../standin/fleet.ts";
import { readProcessCpuMs, readProcessIo } from "./cpu.ts";
import { runLoad, runOpenLoad } from "./load.ts";
import type { LoadResult, RequestShape } from "./load.ts";
import {
  computeMedian,
  readBenchOptions,
  writeFigures,
  writeReport,
} from "./report.ts";

const WARM_UP = 1_000;
const DEFAULT_RUNS = 5;
const TABLE = "examples/coton-loukkos/table.csv";

/** A load pattern; the report has one table for each. */
interface Load {
  readonly name: string;
  /** Sends the requests of one run. */
  readonly run: (target: HopTarget) => Promise<LoadResult>;
  readonly requests: number;
}

/** Address and form of the requests on one call path. */
interface HopTarget {
  readonly url: string;
  readonly createOptions?: () => RequestShape;
}

/** One call path to a backend server, with the processes of its nodes. */
interface HopPath extends HopTarget {
  readonly path: string;
  readonly pids: readonly number[];
}

const REQUESTS = 3_000;
/** Below the rate limit of the row and well below the capacity of one node. */
const PER_SECOND = 500;
const DURATION_MS = 6_000;

/** One caller that waits for each answer, and arrivals independent of them. */
const LOADS: readonly Load[] = [
  {
    name: "one at a time",
    run: (target) => runLoad({ ...target, workers: 1, requests: REQUESTS }),
    requests: REQUESTS,
  },
  {
    name: `${PER_SECOND} a second, Poisson`,
    run: (target) =>
      runOpenLoad({
        ...target,
        perSecond: PER_SECOND,
        durationMs: DURATION_MS,
      }),
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
  /** Read and write system calls of both nodes, for one call. */
  readonly nodeIoCalls: number;
  /** Bytes that both nodes read or wrote, for one call. */
  readonly nodeIoBytes: number;
}

interface HopResult extends LoadResult {
  readonly nodeCpuMicros: number;
  readonly nodeIoCalls: number;
  readonly nodeIoBytes: number;
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
const remote = await fleet.startNode({
  ...common,
  id: "custody-1",
  service: "custody",
});
await fleet.run("table", "apply", TABLE, "--wait");
await using framed = await createHopPaths();
const pids = [backend.child.pid!, remote.child.pid!];
const paths: readonly HopPath[] = [
  { path: "direct", url: `http://${backend.backendAddress}/bales/1`, pids },
  { path: "one node", url: `http://${backend.edge}/bales/1`, pids },
  { path: "two nodes", url: `http://${remote.edge}/bales/1`, pids },
  ...framed.paths,
];

function readNodeTotals(pids: readonly number[]) {
  const io = pids.map(readProcessIo);
  return {
    cpuMs: pids.reduce((sum, pid) => sum + readProcessCpuMs(pid), 0),
    calls: io.reduce((sum, { calls }) => sum + calls, 0),
    bytes: io.reduce((sum, { bytes }) => sum + bytes, 0),
  };
}

async function measurePath(path: HopPath, load: Load): Promise<HopResult> {
  await runLoad({ ...path, workers: 1, requests: WARM_UP });
  const before = readNodeTotals(path.pids);
  const result = await load.run(path);
  if (result.failed > 0) {
    throw new Error(`${path.path}: ${result.failed} requests failed`);
  }
  const after = readNodeTotals(path.pids);
  const { requests } = result;
  return {
    ...result,
    nodeCpuMicros: (after.cpuMs - before.cpuMs) / requests * 1_000,
    nodeIoCalls: (after.calls - before.calls) / requests,
    nodeIoBytes: (after.bytes - before.bytes) / requests,
  };
}

/** Alternates between the paths, so that other load of the machine affects all. */
async function measureLoad(load: Load): Promise<readonly Figure[]> {
  const results = paths.map((): HopResult[] => []);
  for (let run = 0; run < options.runs; run++) {
    for (const [index, path] of paths.entries()) {
      results[index]!.push(await measurePath(path, load));
    }
  }
  const medians = paths.map(({ path }, index) => ({
    path,
    p50Ms: computeMedian(results[index]!.map((result) => result.p50Ms)),
    p99Ms: computeMedian(results[index]!.map((result) => result.p99Ms)),
    nodeCpuMicros: computeMedian(
      results[index]!.map((result) => result.nodeCpuMicros),
    ),
    nodeIoCalls: computeMedian(
      results[index]!.map((result) => result.nodeIoCalls),
    ),
    nodeIoBytes: computeMedian(
      results[index]!.map((result) => result.nodeIoBytes),
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
  writeReport(
    "path                 p50    p99   +p50   +p99  ratio p50  node us/call" +
      "  reads+writes  bytes",
  );
  for (const figure of figures) {
    writeReport([
      figure.path.padEnd(18),
      figure.p50Ms.toFixed(3).padStart(6),
      figure.p99Ms.toFixed(3).padStart(6),
      figure.addedP50Ms.toFixed(3).padStart(6),
      figure.addedP99Ms.toFixed(3).padStart(6),
      figure.ratioP50.toFixed(2).padStart(6),
      figure.nodeCpuMicros.toFixed(0).padStart(13),
      figure.nodeIoCalls.toFixed(1).padStart(13),
      figure.nodeIoBytes.toFixed(0).padStart(6),
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
  // A process writes its profile only when it exits by itself.
  await Promise.all([fleet.stop(backend), fleet.stop(remote)]);
}
