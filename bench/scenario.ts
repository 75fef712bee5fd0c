/** Runs one scenario against a deployment and computes its figures. */
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
import {
  computeCapacity,
  computeIdealGoodput,
  MIN_IMPORTANT,
} from "./workload.ts";
import type { Workload } from "./workload.ts";

/** A load with a surge, and optionally with a straggler during the surge. */
export interface Scenario {
  readonly name: string;
  /** Load in the surge, as a multiple of the capacity. */
  readonly multiple: number;
  /** Most times that callers resend a request, without delay. */
  readonly resends: number;
  /** Service of which one backend server is ten times slower in the surge. */
  readonly straggler?: string;
}

/** Durations of the phases of a scenario, in milliseconds. */
export interface ScenarioTimes {
  readonly beforeMs: number;
  readonly surgeMs: number;
  readonly afterMs: number;
}

/** Figures of a scenario. */
export interface ScenarioFigures {
  /** Complete answers per second in the surge. */
  readonly goodput: number;
  /** Highest goodput that the slots allow at this load, important kinds first. */
  readonly idealGoodput: number;
  /** Shares of root requests that arrived in the surge, from 0 to 1. */
  readonly refusedImportant: number;
  readonly refusedUnimportant: number;
  readonly lostImportant: number;
  readonly lostUnimportant: number;
  /** Important requests refused while an unimportant one was served. */
  readonly inversions: number;
  /** Time from the end of the surge; undefined without recovery. */
  readonly recoveryMs: number | undefined;
  /** Runs of all backend servers per root request with a complete answer. */
  readonly runsPerWhole: number;
  /** Sends of callers per root request. */
  readonly sendsPerRoot: number;
  /** 99th percentile of the time from planned to actual send, in ms. */
  readonly lagP99Ms: number;
  /** Busy share of all cores of the machine, from 0 to 1. */
  readonly cpuShare: number;
}

/** Load before and after the surge, as a multiple of the capacity. */
const BASE_LOAD = 0.6;
const LOAD_PROCESSES = 2;
/** Time for the load processes to start. */
const START_DELAY_MS = 1_500;
/** Time for the last runs to be counted. */
const SETTLE_MS = 500;
const STRAGGLER_FACTOR = 10;
/** Time excluded from figures at the start of the load and of the surge. */
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
      { length: LOAD_PROCESSES },
      (_, index) => runLoadProcess({ ...plan, seed: seed * 100 + index }),
    ),
  );
  if (straggler !== undefined) {
    await sleep(START_DELAY_MS + times.beforeMs);
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
    throw new Error(
      `No complete answer in scenario ${scenario.name}; check the load processes`,
    );
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
  const capacity = computeCapacity(workload) / LOAD_PROCESSES;
  const basePerSecond = BASE_LOAD * capacity;
  return {
    workload: workload.name,
    phases: [
      { durationMs: times.beforeMs, perSecond: basePerSecond },
      { durationMs: times.surgeMs, perSecond: scenario.multiple * capacity },
      { durationMs: times.afterMs, perSecond: basePerSecond },
    ],
    entries: deployment.entries,
    resends: scenario.resends,
    startAtMs: Date.now() + START_DELAY_MS,
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
    isImportant: kind.importance >= MIN_IMPORTANT,
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

async function runLoadProcess(plan: LoadPlan): Promise<readonly RootOutcome[]> {
  const program = fileURLToPath(new URL("load_process.js", import.meta.url));
  const child = spawn(process.execPath, [program, JSON.stringify(plan)], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const chunks: Uint8Array[] = [];
  child.stdout.on("data", (chunk: Uint8Array) => chunks.push(chunk));
  const exitCode = await new Promise((resolve) => child.on("close", resolve));
  if (exitCode !== 0) {
    throw new Error(`Load process exited with code ${exitCode}`);
  }
  return JSON.parse(Buffer.concat(chunks).toString()) as RootOutcome[];
}
