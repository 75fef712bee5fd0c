/**
 * Compares goodput, refusals and recovery under overload in three modes: no
 * control, a fixed concurrency limit with simple retries, and basilpin.
 */
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet } from "../standin/fleet.ts";
import { countCores } from "./cpu.ts";
import { MODES, readRefusals, startDeployment } from "./overload_fleet.ts";
import type { Deployment, Mode } from "./overload_fleet.ts";
import { formatPlot } from "./plot.ts";
import {
  computeMedian,
  readBenchOptions,
  writeFigures,
  writeReport,
} from "./report.ts";
import { runScenario } from "./scenario.ts";
import type { Scenario, ScenarioFigures, ScenarioTimes } from "./scenario.ts";
import { computeCapacity, computeRunsPerRoot, WORKLOADS } from "./workload.ts";
import type { Workload } from "./workload.ts";

/** Figures of one scenario, in one mode, of one workload. */
interface ScenarioResult extends ScenarioFigures {
  readonly workload: string;
  readonly mode: Mode;
  readonly scenario: string;
}

/** Loads of the surge, as multiples of the capacity. */
const MULTIPLES = [0.8, 1, 1.5, 2, 4, 8];
const QUICK_MULTIPLES = [1, 4];
const TIMES: ScenarioTimes = {
  beforeMs: 3_000,
  surgeMs: 5_000,
  afterMs: 6_000,
};
const QUICK_TIMES: ScenarioTimes = {
  beforeMs: 2_000,
  surgeMs: 4_500,
  afterMs: 4_000,
};
const HARD_RESENDS = 4;
/** Load of the surge in the scenario of resends, as a multiple. */
const RESEND_LOAD = 4;
const STRAGGLER_LOAD = 0.8;
/** Excludes cold starts, which this benchmark does not measure. */
const WARM_UP_MS = 10_000;
/** Time between scenarios for queues and running requests to drain. */
const DRAIN_MS = 1_500;
/** Above this share, processor time instead of slots may limit goodput. */
const MAX_CPU_SHARE = 0.85;

const options = readBenchOptions("bench:overload", 1);
const times = options.isQuick ? QUICK_TIMES : TIMES;
const workloads = options.isQuick ? WORKLOADS.slice(0, 1) : WORKLOADS;

/** Finds the first downstream service of a kind with calls, as straggler. */
function findStraggler(workload: Workload): string {
  const deepest = workload.kinds.find(({ calls }) => calls.length > 0)!;
  return workload.kinds.find(({ kind }) => kind === deepest.calls[0])!.service;
}

/**
 * Whether `--only` selects `name`. It selects all if it has none of `names`,
 * which are the names of one dimension: the modes or the scenarios.
 */
function isSelected(name: string, names: readonly string[]): boolean {
  const selected = options.only.filter((one) => names.includes(one));
  return selected.length === 0 || selected.includes(name);
}

function listScenarios(workload: Workload): readonly Scenario[] {
  const scenarios = createScenarios(workload);
  const names = scenarios.map(({ name }) => name);
  return scenarios.filter(({ name }) => isSelected(name, names));
}

function createScenarios(workload: Workload): readonly Scenario[] {
  const multiples = options.isQuick ? QUICK_MULTIPLES : MULTIPLES;
  return [
    ...multiples.map((multiple) => ({
      name: `${multiple}x`,
      multiple,
      resends: 0,
    })),
    { name: "resends", multiple: RESEND_LOAD, resends: HARD_RESENDS },
    {
      name: "straggler",
      multiple: STRAGGLER_LOAD,
      resends: 0,
      straggler: findStraggler(workload),
    },
  ];
}

async function measureMode(
  workload: Workload,
  mode: Mode,
  run: number,
): Promise<readonly ScenarioResult[]> {
  await using fleet = new Fleet();
  const deployment = await startDeployment(fleet, workload, mode);
  await sleep(WARM_UP_MS);
  const measured: ScenarioResult[] = [];
  for (const scenario of listScenarios(workload)) {
    const figures = await runScenario(workload, deployment, scenario, {
      times,
      seed: run + 1,
    });
    const names = { workload: workload.name, mode, scenario: scenario.name };
    measured.push({ ...names, ...figures });
    if (options.only.includes("refusals")) {
      await writeRefusals(deployment);
    }
    await sleep(DRAIN_MS);
  }
  return measured;
}

/** Prints the refusal counters of all nodes, since their start. */
async function writeRefusals(deployment: Deployment): Promise<void> {
  for (const [nodeId, address] of Object.entries(deployment.operators)) {
    for (const line of await readRefusals(address)) {
      writeReport(`${nodeId} ${line}`);
    }
  }
}

/** Takes the median of each figure; no recovery counts as infinitely long. */
function mergeRuns(runs: readonly ScenarioResult[]): ScenarioResult {
  const first = runs[0]!;
  const take = (read: (figures: ScenarioFigures) => number) =>
    computeMedian(runs.map(read));
  const recoveryMs = take(({ recoveryMs }) => recoveryMs ?? Infinity);
  return {
    ...first,
    goodput: take(({ goodput }) => goodput),
    refusedImportant: take((figures) => figures.refusedImportant),
    refusedUnimportant: take((figures) => figures.refusedUnimportant),
    lostImportant: take((figures) => figures.lostImportant),
    lostUnimportant: take((figures) => figures.lostUnimportant),
    inversions: take(({ inversions }) => inversions),
    recoveryMs: Number.isFinite(recoveryMs) ? recoveryMs : undefined,
    runsPerWhole: take(({ runsPerWhole }) => runsPerWhole),
    sendsPerRoot: take(({ sendsPerRoot }) => sendsPerRoot),
    lagP99Ms: take(({ lagP99Ms }) => lagP99Ms),
    cpuShare: take(({ cpuShare }) => cpuShare),
  };
}

function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function formatMeasured(measured: ScenarioResult, peak: number): string {
  return [
    measured.mode.padEnd(8),
    measured.scenario.padEnd(9),
    measured.goodput.toFixed(0).padStart(7),
    formatPercent(measured.goodput / peak).padStart(7),
    formatPercent(measured.goodput / measured.idealGoodput).padStart(7),
    formatPercent(measured.refusedImportant).padStart(8),
    formatPercent(measured.refusedUnimportant).padStart(8),
    formatPercent(measured.lostImportant).padStart(8),
    formatPercent(measured.lostUnimportant).padStart(8),
    String(measured.inversions).padStart(6),
    (measured.recoveryMs === undefined
      ? "never"
      : `${(measured.recoveryMs / 1_000).toFixed(1)}s`).padStart(6),
    measured.runsPerWhole.toFixed(2).padStart(10),
    measured.sendsPerRoot.toFixed(2).padStart(6),
    measured.lagP99Ms.toFixed(0).padStart(7),
    formatPercent(measured.cpuShare).padStart(7),
  ].join(" ");
}

function findPeak(
  figures: readonly ScenarioResult[],
  workload: Workload,
): number {
  const ofWorkload = figures.filter((one) => one.workload === workload.name);
  return Math.max(...ofWorkload.map(({ goodput }) => goodput));
}

function printWorkload(
  figures: readonly ScenarioResult[],
  workload: Workload,
): void {
  const capacity = computeCapacity(workload).toFixed(0);
  const runsPerRoot = computeRunsPerRoot(workload).toFixed(2);
  writeReport(
    `\n${workload.name}: capacity ${capacity} root requests/s, ` +
      `${runsPerRoot} runs a root request without retries`,
  );
  writeReport(
    "mode     load       whole  of the  of the  refused  refused     lost     lost" +
      "  imp.   back  runs/whole sends/ lag p99 machine",
  );
  writeReport(
    "                     /s      peak   ideal  import.    other  import.    other" +
      " inver.  after       root   root    ms     CPU",
  );
  const peak = findPeak(figures, workload);
  for (const measured of figures) {
    if (measured.workload === workload.name) {
      writeReport(formatMeasured(measured, peak));
    }
  }
}

function drawFigures(figures: readonly ScenarioResult[]): string {
  const panels = workloads.map((workload) => {
    const labels = listScenarios(workload).map(({ name }) => name);
    return {
      title: `${workload.name}: whole answers a second`,
      labels,
      lines: MODES.map((mode) => ({
        name: mode,
        values: labels.map((label) =>
          figures.find((one) =>
            one.workload === workload.name && one.mode === mode &&
            one.scenario === label
          )?.goodput
        ),
      })),
    };
  });
  return formatPlot(panels);
}

const runs: ScenarioResult[][] = [];
for (let run = 0; run < options.runs; run++) {
  const measured: ScenarioResult[] = [];
  for (const workload of workloads) {
    for (const mode of MODES.filter((one) => isSelected(one, MODES))) {
      measured.push(...await measureMode(workload, mode, run));
    }
  }
  runs.push(measured);
}
const figures = runs[0]!.map((_, index) =>
  mergeRuns(runs.map((measured) => measured[index]!))
);
writeReport(`medians of ${options.runs} runs, ${countCores()} cores`);
workloads.forEach((workload) => printWorkload(figures, workload));
if (figures.some(({ cpuShare }) => cpuShare > MAX_CPU_SHARE)) {
  writeReport("\nThe machine was short of processor time: figures are weak");
}
writeFigures(options, { runs: options.runs, times, figures });
if (options.svg !== undefined) {
  writeFileSync(options.svg, drawFigures(figures));
}
