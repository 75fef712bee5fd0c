/**
 * Simulates entry nodes, control replicas and callers of one workspace, to
 * compare policies that enforce its limit.
 */
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import { QuotaGate } from "../common/quota_gate.ts";
import {
  addUsages,
  computeWindowLimit,
  listShares,
} from "../common/quota_shares.ts";
import type { QuotaTerms, WorkspaceUsage } from "../common/quota_shares.ts";
import { USAGE_INTERVAL_MS } from "../common/usage_window.ts";
import type { Workspace } from "../common/workspace.ts";

/** The terms of the newest deployment. */
export const TERMS: QuotaTerms = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** The load and faults of a simulation. */
export interface QuotaScenario {
  readonly entries: number;
  /** Number of entry nodes that receive the workspace's requests. */
  readonly usedEntries: number;
  readonly ratePerSecond: number;
  /** Requests per second over all entry nodes, relative to the rate. */
  readonly demand: (atMs: number) => number;
  /** Whether the control replicas are down; they lose their state meanwhile. */
  readonly isControlDown?: (atMs: number) => boolean;
  /** When the entry nodes restart without state; undefined for never. */
  readonly restartsAtMs?: number;
  readonly lengthMs?: number;
  readonly seed?: number;
}

/** Result of a simulation. */
export interface QuotaResult {
  /**
   * Requests admitted in the fullest window, relative to the allowed maximum.
   */
  readonly worstWindow: number;
  /** Share of the requests refused while the demand was below the limit. */
  readonly wronglyRefused: number;
  /** Share of the requests that were admitted. */
  readonly letIn: number;
}

/** A policy by which the entry nodes admit requests. */
export interface QuotaPolicy {
  readonly decide: (entry: number) => boolean;
  /** Called each `STEP_MS`. */
  readonly step: (atMs: number) => void;
  readonly restart: () => void;
}

const STEP_MS = 50;
const LENGTH_MS = 30_000;
/** Time after a start during which control replicas send no shares. */
const WARM_UP_MS = 2_500;
/**
 * Delay from a report to the share based on it: the periods of two replicas.
 */
const SHARE_DELAY_MS = 750;

/**
 * Creates the implemented policy: one share, from the reports of all entry
 * nodes.
 */
export function createSharedPolicy(scenario: QuotaScenario): QuotaPolicy {
  const random = createRandom(scenario.seed ?? 1);
  const workspace = createWorkspace(scenario);
  const createGates = () =>
    Array.from(
      { length: scenario.entries },
      () => new QuotaGate({ terms: TERMS, draw: random }),
    );
  let gates = createGates();
  gates.forEach((gate) => gate.replaceShares([], scenario.entries));
  let known: {
    readonly atMs: number;
    readonly usages: readonly WorkspaceUsage[];
  }[] = [];
  let upSinceMs = -WARM_UP_MS;
  return {
    decide: (entry) => gates[entry]!.decide(workspace).type === "LetIn",
    restart: () => {
      gates = createGates();
      gates.forEach((gate) => gate.replaceShares(undefined, scenario.entries));
      known = [];
      upSinceMs = Infinity;
    },
    step: (atMs) => {
      if (atMs === 0 || atMs % USAGE_INTERVAL_MS !== 0) {
        return;
      }
      const reports = gates.map((gate) => gate.createReport());
      if (scenario.isControlDown?.(atMs) === true) {
        known = [];
        upSinceMs = Infinity;
        return;
      }
      upSinceMs = Math.min(upSinceMs, atMs);
      known.push({ atMs, usages: [...addUsages(reports).values()] });
      const latest = known.findLast((one) => one.atMs <= atMs - SHARE_DELAY_MS);
      if (latest !== undefined && atMs - upSinceMs >= WARM_UP_MS) {
        const shares = listShares(
          [workspace],
          addUsages([latest.usages]),
          TERMS,
        );
        gates.forEach((gate) => gate.replaceShares(shares, scenario.entries));
      }
    },
  };
}

/**
 * Creates the alternative policy: each entry node has an equal part of the
 * limit.
 */
export function createFixedPolicy(scenario: QuotaScenario): QuotaPolicy {
  const limit = computeWindowLimit(createWorkspace(scenario), TERMS);
  const maxTokens = (limit * (1 + TERMS.overage) + TERMS.slack) /
    scenario.entries;
  const perStep = maxTokens * STEP_MS / TERMS.windowMs;
  const tokens = new Array<number>(scenario.entries).fill(1);
  return {
    decide: (entry) => {
      const isLetIn = tokens[entry]! >= 1;
      tokens[entry]! -= isLetIn ? 1 : 0;
      return isLetIn;
    },
    restart: () => tokens.fill(1),
    step: () => {
      tokens.forEach((token, entry) => {
        tokens[entry] = Math.min(Math.max(1, maxTokens), token + perStep);
      });
    },
  };
}

/** Simulates a scenario under a policy. */
export function simulateQuota(
  scenario: QuotaScenario,
  policy: QuotaPolicy,
): QuotaResult {
  const random = createRandom((scenario.seed ?? 1) + 1_000);
  const { lengthMs = LENGTH_MS, ratePerSecond } = scenario;
  const limit = computeWindowLimit(createWorkspace(scenario), TERMS);
  const asked: number[] = [];
  const letIn: number[] = [];
  let total = 0;
  let wronglyRefused = 0;
  let worstWindow = 0;
  for (let atMs = 0; atMs < lengthMs; atMs += STEP_MS) {
    if (atMs === scenario.restartsAtMs) {
      policy.restart();
    }
    policy.step(atMs);
    const mean = ratePerSecond * scenario.demand(atMs) * STEP_MS / 1_000;
    const count = drawPoisson(mean, random);
    let admitted = 0;
    for (let at = 0; at < count; at += 1) {
      const entry = Math.floor(random() * scenario.usedEntries);
      admitted += policy.decide(entry) ? 1 : 0;
    }
    asked.push(count);
    letIn.push(admitted);
    total += count;
    const steps = TERMS.windowMs / STEP_MS;
    const askedInWindow = sum(asked.slice(-steps));
    const maxAdmitted = limit * (1 + TERMS.overage) + TERMS.slack;
    worstWindow = Math.max(worstWindow, sum(letIn.slice(-steps)) / maxAdmitted);
    wronglyRefused += askedInWindow <= limit ? count - admitted : 0;
  }
  return {
    worstWindow,
    wronglyRefused: wronglyRefused / Math.max(1, total),
    letIn: sum(letIn) / Math.max(1, total),
  };
}

function createWorkspace({ ratePerSecond }: QuotaScenario): Workspace {
  return {
    name: "mill",
    keyDigests: [],
    rank: undefined,
    ratePerSecond,
    burst: ratePerSecond,
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, one) => total + one, 0);
}

function drawPoisson(mean: number, random: Random): number {
  const threshold = Math.exp(-mean);
  let product = random();
  let count = 0;
  while (product > threshold) {
    product *= random();
    count += 1;
  }
  return count;
}
