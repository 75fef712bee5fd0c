/** Runs one surge against a deployment and draws its figures. */
import { spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { readRuns, setBehaviour } from "../standin/fleet.ts";
import { computeBusyShare, readMachineCpu } from "./cpu.ts";
import type { LoadPlan } from "./load_process.ts";
import {
  computeGoodput,
  computePercentile,
  computeRecoveryMs,
  computeShare,
  countInversions,
} from "./outcomes.ts";
import type { RootOutcome } from "./outcomes.ts";
import type { Deployment } from "./overload_fleet.ts";
import { computeCapacity, computeIdealGoodput, IMPORTANT } from "./workload.ts";
import type { Workload } from "./workload.ts";

/** One surge. */
export interface Scenario {
  readonly name: string;
  /** Load in the surge, as a multiple of the capacity. */
  readonly multiple: number;
  /** How often callers send a request again, at once. */
  readonly resends: number;
  /** Service of which one backend server becomes ten times slower. */
  readonly straggler?: string;
}

/** How long the parts of a scenario take, in milliseconds. */
export interface ScenarioTimes {
  readonly beforeMs: number;
  readonly surgeMs: number;
  readonly afterMs: number;
}

/** What came of a scenario. */
export interface ScenarioFigures {
  /** Whole answers a second in the surge. */
  readonly goodput: number;
  /** The most that the slots allow at this load, important kinds first. */
  readonly idealGoodput: number;
  /** Shares of the root requests that arrived in the surge. */
  readonly refusedImportant: number;
  readonly refusedUnimportant: number;
  readonly lostImportant: number;
  readonly lostUnimportant: number;
  /** Important ones refused while an unimportant one was served. */
  readonly inversions: number;
  /** Undefined where the goodput didn't come back. */
  readonly recoveryMs: number | undefined;
  /** Runs of all backend servers for one whole root request. */
  readonly runsPerWhole: number;
  /** Sends of callers for one root request. */
  readonly sendsPerRoot: number;
  /** Sent later than planned, 99 in 100, in milliseconds. */
  readonly lagP99Ms: number;
  /** Busy share of all cores of the machine. */
  readonly cpuShare: number;
}

const CALM = 0.6;
const LOADERS = 2;
const LEAD_MS = 1_500;
const SETTLE_MS = 500;
const STRAGGLER_FACTOR = 10;
/** The start of the load and of the surge is left out. */
const RAMP_MS = 500;

/** Runs `scenario` once. */
export async function runScenario(
  workload: Workload,
  deployment: Deployment,
  scenario: Scenario,
  options: { readonly times: ScenarioTimes; readonly seed: number },
): Promise<ScenarioFigures> {
  const { times, seed } = options;
  const straggler = scenario.straggler === undefined
    ? undefined
    : deployment.backends[scenario.straggler]![0]!;
  const runsBefore = await countRuns(deployment);
  const cpuBefore = readMachineCpu();
  const plan = createPlan(workload, deployment, scenario, times);
  const loading = Promise.all(
    Array.from(
      { length: LOADERS },
      (_, index) => runLoader({ ...plan, seed: seed * 100 + index }),
    ),
  );
  if (straggler !== undefined) {
    await sleep(LEAD_MS + times.beforeMs);
    const serviceMs = workload.serviceMs[scenario.straggler!]!;
    const slowMs = serviceMs * STRAGGLER_FACTOR;
    await setBehaviour(straggler, { serviceMs: slowMs });
    await sleep(times.surgeMs);
    await setBehaviour(straggler, { serviceMs });
  }
  const outcomes = (await loading).flat();
  const cpuShare = computeBusyShare(cpuBefore, readMachineCpu());
  await sleep(SETTLE_MS);
  const runs = await countRuns(deployment) - runsBefore;
  if (!outcomes.some(({ result }) => result === "whole")) {
    throw new Error(`No whole answer in ${scenario.name}: the load is broken`);
  }
  const perSecond = scenario.multiple * computeCapacity(workload);
  return {
    ...computeFigures(workload, outcomes, times, runs),
    idealGoodput: computeIdealGoodput(workload, perSecond),
    cpuShare,
  };
}

function createPlan(
  workload: Workload,
  deployment: Deployment,
  scenario: Scenario,
  times: ScenarioTimes,
): Omit<LoadPlan, "seed"> {
  const capacity = computeCapacity(workload) / LOADERS;
  const calm = CALM * capacity;
  return {
    workload: workload.name,
    phases: [
      { durationMs: times.beforeMs, perSecond: calm },
      { durationMs: times.surgeMs, perSecond: scenario.multiple * capacity },
      { durationMs: times.afterMs, perSecond: calm },
    ],
    entries: deployment.entries,
    resends: scenario.resends,
    startAtMs: Date.now() + LEAD_MS,
  };
}

function computeFigures(
  workload: Workload,
  outcomes: readonly RootOutcome[],
  times: ScenarioTimes,
  runs: number,
): Omit<ScenarioFigures, "cpuShare" | "idealGoodput"> {
  const { beforeMs, surgeMs, afterMs } = times;
  const surgeEndMs = beforeMs + surgeMs;
  const before = { fromMs: RAMP_MS, toMs: beforeMs };
  const surge = { fromMs: beforeMs + RAMP_MS, toMs: surgeEndMs };
  const after = { fromMs: surgeEndMs, toMs: surgeEndMs + afterMs };
  const ranks = workload.kinds.map((kind) => ({
    kind: kind.kind,
    isImportant: kind.importance >= IMPORTANT,
    service: kind.service,
  }));
  const isImportant = new Map(ranks.map((r) => [r.kind, r.isImportant]));
  const important = outcomes.filter(({ kind }) => isImportant.get(kind));
  const unimportant = outcomes.filter(({ kind }) => !isImportant.get(kind));
  const whole = outcomes.filter(({ result }) => result === "whole");
  const sends = outcomes.reduce((sum, outcome) => sum + outcome.sends, 0);
  const share = (of: readonly RootOutcome[]) => ({
    refused: computeShare(of, "refused", surge),
    lost: computeShare(of, "late", surge) + computeShare(of, "failed", surge),
  });
  return {
    goodput: computeGoodput(outcomes, surge),
    refusedImportant: share(important).refused,
    refusedUnimportant: share(unimportant).refused,
    lostImportant: share(important).lost,
    lostUnimportant: share(unimportant).lost,
    inversions: countInversions(outcomes, ranks),
    recoveryMs: computeRecoveryMs(outcomes, before, after),
    runsPerWhole: runs / Math.max(1, whole.length),
    sendsPerRoot: sends / Math.max(1, outcomes.length),
    lagP99Ms: computePercentile(outcomes.map(({ lagMs }) => lagMs), 0.99),
  };
}

async function countRuns(deployment: Deployment): Promise<number> {
  const addresses = Object.values(deployment.backends).flat();
  const reports = await Promise.all(addresses.map(readRuns));
  return reports.reduce((sum, { started }) => sum + started, 0);
}

async function runLoader(plan: LoadPlan): Promise<readonly RootOutcome[]> {
  const program = fileURLToPath(new URL("load_process.js", import.meta.url));
  const child = spawn(process.execPath, [program, JSON.stringify(plan)], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const chunks: Uint8Array[] = [];
  child.stdout.on("data", (chunk: Uint8Array) => chunks.push(chunk));
  const exitCode = await new Promise((resolve) => child.on("close", resolve));
  if (exitCode !== 0) {
    throw new Error(`Load process ended with ${exitCode}`);
  }
  return JSON.parse(Buffer.concat(chunks).toString()) as RootOutcome[];
}
