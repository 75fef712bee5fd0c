/**
 * Simulates entry nodes, control replicas and callers of one workspace, to
 * compare policies that enforce its limit.
 */
import {
  hasChangedMuch,
  MIN_PROMPT_INTERVAL_MS,
  WARM_UP_MS,
} from "../../control/common/usage_step.ts";
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import { QuotaGate } from "../common/quota_gate.ts";
import {
  addUsages,
  computeWindowLimit,
  listCurrentUsages,
  listShares,
  listUtilizations,
} from "../common/quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
} from "../common/quota_shares.ts";
import {
  PROMPT_INTERVAL_MS,
  USAGE_INTERVAL_MS,
} from "../common/usage_window.ts";
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
/**
 * Delay from a prompt report to the share based on it: a digest and a message
 * of shares may each have to wait for the minimum interval of their replicas.
 */
const PROMPT_SHARE_DELAY_MS = 2 * MIN_PROMPT_INTERVAL_MS;
/**
 * Delay from a regular report to the share based on it: the periods of two
 * replicas.
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
  let control = createSimulatedControl(workspace, scenario.entries);
  let upSinceMs = -WARM_UP_MS;
  return {
    decide: (entry) => gates[entry]!.decide(workspace).type === "LetIn",
    restart: () => {
      gates = createGates();
      gates.forEach((gate) => gate.replaceShares(undefined, scenario.entries));
      control = createSimulatedControl(workspace, scenario.entries);
      upSinceMs = Infinity;
    },
    step: (atMs) => {
      if (atMs === 0 || atMs % PROMPT_INTERVAL_MS !== 0) {
        return;
      }
      const isDown = scenario.isControlDown?.(atMs) === true;
      if (isDown) {
        control = createSimulatedControl(workspace, scenario.entries);
        upSinceMs = Infinity;
        gates.forEach((gate) => gate.recordControlLoss());
      } else {
        upSinceMs = Math.min(upSinceMs, atMs);
      }
      gates.forEach((gate, entry) => {
        const prompt = gate.createPromptReport();
        const regular = atMs % USAGE_INTERVAL_MS === 0
          ? gate.createReport()
          : undefined;
        if (!isDown) {
          control.receive(entry, { prompt, regular }, atMs);
        }
      });
      const isWarm = !isDown && atMs - upSinceMs >= WARM_UP_MS;
      const update = control.step(atMs, isWarm);
      if (update !== undefined) {
        gates.forEach((gate) =>
          gate.replaceShares(
            update.shares,
            scenario.entries,
            update.utilizations,
          )
        );
      }
    },
  };
}

const NO_USAGES: ReadonlyMap<string, WorkspaceUsage> = new Map();

/** Reports of one entry node; undefined if it sent none. */
interface SimulatedReports {
  readonly prompt: readonly WorkspaceUsage[] | undefined;
  readonly regular: readonly WorkspaceUsage[] | undefined;
}

/** Lists what counts of the last report of each entry node. */
function listCurrent(
  reports: readonly {
    readonly atMs: number;
    readonly usages: readonly WorkspaceUsage[];
  }[],
  atMs: number,
) {
  return reports.map(({ usages, atMs: reportedAtMs }) =>
    listCurrentUsages(usages, atMs - reportedAtMs)
  );
}

/**
 * Simulates control replicas: prompt reports come into force after
 * `PROMPT_SHARE_DELAY_MS`, regular ones after `SHARE_DELAY_MS`.
 */
function createSimulatedControl(workspace: Workspace, entries: number) {
  const reports = new Array<{
    readonly atMs: number;
    readonly usages: readonly WorkspaceUsage[];
  }>(entries).fill({ atMs: 0, usages: [] });
  /** Usages on their way to all replicas. */
  let underway: readonly {
    readonly atMs: number;
    readonly dueMs: number;
    readonly usages: ReadonlyMap<string, WorkspaceUsage>;
    readonly isPrompt: boolean;
  }[] = [];
  let latest: { readonly atMs: number; readonly usages: typeof NO_USAGES } = {
    atMs: 0,
    usages: NO_USAGES,
  };
  let isGrown = false;
  let sentShares: readonly WorkspaceShare[] = [];
  return {
    receive: (
      entry: number,
      { prompt, regular }: SimulatedReports,
      atMs: number,
    ) => {
      isGrown ||= prompt !== undefined;
      const usages = regular ?? prompt;
      reports[entry] = usages === undefined
        ? reports[entry]!
        : { atMs, usages };
    },
    step: (atMs: number, isWarm: boolean) => {
      const isRegular = atMs % USAGE_INTERVAL_MS === 0;
      const due = [
        ...(isGrown
          ? [{ delayMs: PROMPT_SHARE_DELAY_MS, isPrompt: true }]
          : []),
        ...(isRegular ? [{ delayMs: SHARE_DELAY_MS, isPrompt: false }] : []),
      ];
      const usages = due.length === 0
        ? NO_USAGES
        : addUsages(listCurrent(reports, atMs));
      underway = [
        ...underway,
        ...due.map(({ delayMs, isPrompt }) => ({
          atMs,
          dueMs: atMs + delayMs,
          usages,
          isPrompt,
        })),
      ];
      isGrown = false;
      const arrived = underway.filter(({ dueMs }) => dueMs <= atMs);
      underway = underway.filter(({ dueMs }) => dueMs > atMs);
      // An older sum doesn't replace a newer one that came by a prompt report.
      latest = [latest, ...arrived].reduce((newest, one) =>
        one.atMs >= newest.atMs ? one : newest
      );
      if (arrived.length === 0) {
        return undefined;
      }
      const shares = listShares([workspace], latest.usages, TERMS);
      const isSent = arrived.some(({ isPrompt }) => !isPrompt) ||
        hasChangedMuch(sentShares, shares);
      if (!isSent || !isWarm) {
        return undefined;
      }
      sentShares = shares;
      const utilizations = listUtilizations([workspace], latest.usages, TERMS);
      return { shares, utilizations };
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
