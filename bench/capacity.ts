/**
 * Measures how bytes, processor time and memory of control grow with the number
 * of nodes and edits.
 */
import { writeReport } from "./report.ts";
import { computeMedian, readBenchOptions, writeFigures } from "./report.ts";
import { measureMemory } from "./capacity_memory.ts";
import { measureControl, measureRealNodes } from "./capacity_control.ts";
import type { ControlFigure } from "./capacity_control.ts";

const NODE_COUNTS = [10, 50, 200];
const REPLICA_COUNTS = [1, 3];
const DEFAULT_RUNS = 3;
/** Width of a column, in characters. */
const COLUMN_WIDTH = 10;

const COLUMNS = [
  ["nodes", "nodes"],
  ["replicas", "replicas"],
  ["node B/s", "nodeBytesPerSecond"],
  ["node msg/s", "nodeMessagesPerSecond"],
  ["node ms/s", "nodeCpuMsPerSecond"],
  ["ctl ms/s", "controlCpuMsPerSecond"],
  ["B/edit", "nodeBytesPerEdit"],
  ["ctl ms/ed", "controlCpuMsPerEdit"],
  ["ctl ms/ann", "controlCpuMsPerAnnouncement"],
  ["p50 ms", "inForceP50Ms"],
  ["p99 ms", "inForceP99Ms"],
  ["max ms", "inForceMaxMs"],
  ["ctl MiB", "controlMib"],
] as const;

/** Takes the median of each figure over the runs of one fleet size. */
function mergeRuns(runs: readonly ControlFigure[]): ControlFigure {
  const keys = Object.keys(runs[0]!) as (keyof ControlFigure)[];
  return Object.fromEntries(
    keys.map((key) => [key, computeMedian(runs.map((run) => run[key]))]),
  ) as unknown as ControlFigure;
}

/** Computes the increase of `pick` per node by linear least squares. */
function computeSlope(
  figures: readonly ControlFigure[],
  pick: (figure: ControlFigure) => number,
): number {
  const meanX = figures.reduce((s, f) => s + f.nodes, 0) / figures.length;
  const meanY = figures.reduce((s, f) => s + pick(f), 0) / figures.length;
  const covariance = figures.reduce(
    (s, f) => s + (f.nodes - meanX) * (pick(f) - meanY),
    0,
  );
  const variance = figures.reduce((s, f) => s + (f.nodes - meanX) ** 2, 0);
  return covariance / variance;
}

const options = readBenchOptions("bench:capacity", DEFAULT_RUNS);
const figures: ControlFigure[] = [];
for (const replicas of REPLICA_COUNTS) {
  for (const nodes of NODE_COUNTS) {
    const runs: ControlFigure[] = [];
    for (let run = 0; run < options.runs; run++) {
      runs.push(await measureControl(nodes, replicas));
    }
    figures.push(mergeRuns(runs));
  }
}
const real = await measureRealNodes();
const memory = await measureMemory(options.runs);

writeReport(
  `medians of ${options.runs} runs; light nodes in 4 processes; bytes are ` +
    "message payloads; ctl is one control process, the busiest",
);
writeReport(COLUMNS.map(([title]) => title.padStart(COLUMN_WIDTH)).join(" "));
for (const figure of figures) {
  writeReport(
    COLUMNS.map(([, key]) => {
      const digits = key === "nodes" || key === "replicas" ? 0 : 2;
      return figure[key].toFixed(digits).padStart(COLUMN_WIDTH);
    }).join(" "),
  );
}
const slopes = REPLICA_COUNTS.map((replicas) => {
  const ofReplicas = figures.filter((figure) => figure.replicas === replicas);
  return {
    replicas,
    controlCpuMsPerSecondPerNode: computeSlope(
      ofReplicas,
      (figure) => figure.controlCpuMsPerSecond,
    ),
    controlCpuMsPerEditPerNode: computeSlope(
      ofReplicas,
      (figure) => figure.controlCpuMsPerEdit,
    ),
    controlMibPerNode: computeSlope(ofReplicas, (figure) => figure.controlMib),
  };
});
for (const slope of slopes) {
  writeReport(
    `slope, ${slope.replicas} replica(s), per node of the fleet: ` +
      `${slope.controlCpuMsPerSecondPerNode.toFixed(4)} ms/s, ` +
      `${slope.controlCpuMsPerEditPerNode.toFixed(4)} ms an edit, ` +
      `${slope.controlMibPerNode.toFixed(4)} MiB at one control process`,
  );
}
writeReport(
  `real nodes, idle: ${real.idleCpuMsPerSecond.toFixed(2)} ms/s of a core ` +
    `each (${real.count} processes, the whole node and not the link alone)`,
);
writeReport("resident memory, MiB");
for (const { name, mib } of memory) {
  writeReport(`${mib.toFixed(1).padStart(COLUMN_WIDTH)} ${name}`);
}
writeFigures(options, { runs: options.runs, figures, slopes, real, memory });
