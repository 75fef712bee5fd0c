/**
 * One soak test of a call tree: processes, callers at several levels, and
 * faults drawn from a generator with a seed: lost answers, and frozen or
 * restarted nodes.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { CallTreeFleet } from "../platform/standin/call_tree_fleet.ts";
import type {
  TreeMember,
  TreeOutcome,
} from "../platform/standin/call_tree_fleet.ts";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";
import { findWorstWindows } from "../standin/retry_windows.ts";
import type { WorstWindow } from "../standin/retry_windows.ts";

/** Parameters of a soak test of a call tree. */
export interface TreeSoakOptions {
  readonly seed: number;
  readonly nodesPerService: number;
  /** Duration of fault injection. */
  readonly lengthMs: number;
  /** Maximum number of faults in progress at the same time. */
  readonly overlapping: number;
}

/** The result of a soak test of a call tree. */
export interface TreeSoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faultsPlayed: number;
  /** For each service with repeats, the window closest to its retry budget. */
  readonly worst: readonly WorstWindow[];
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** Parameters of the short soak test of a call tree. */
export const SHORT_TREE_SOAK = {
  nodesPerService: 2,
  lengthMs: 16_000,
  overlapping: 2,
} as const;

/** Services from the root down, each with its number of downstream calls. */
const LEVELS = [
  { service: "top", calls: 2 },
  { service: "upper", calls: 1 },
  { service: "lower", calls: 4 },
  { service: "bottom", calls: 0 },
];
/** Requests per second that callers send, by service. */
const REQUEST_RATES = [["top", 24], ["lower", 6], ["bottom", 8]] as const;
/** The retry budget in the settings of the fleet. */
const RETRY_TERMS = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const SLOTS = 64;
/** Time with load but no faults at the start. */
const FAULT_FREE_MS = 4_000;
const MAX_FAULT_INTERVAL_MS = 700;
const MAX_ANSWER_LOSS_MS = 5_000;
const MAX_FREEZE_MS = 900;
/** Highest share of all requests that may be refused or fail. */
const MAX_UNSERVED_RATIO = 0.6;
/**
 * Lowest share of served requests of one kind, as a ratio of the share of
 * served requests of all kinds. A kind below it is starved.
 */
const MIN_SERVED_RATIO = 0.25;

/** Runs the soak test of one seed. */
export async function runTreeSoak(
  options: TreeSoakOptions,
): Promise<TreeSoakReport> {
  const { seed, nodesPerService, lengthMs } = options;
  const random = createRandom(seed);
  await using fleet = await CallTreeFleet.open({
    levels: LEVELS,
    nodesPerService,
    slots: SLOTS,
    draw: createRandom(seed + 1),
  });
  const load = { lengthMs: FAULT_FREE_MS + lengthMs };
  const callers = REQUEST_RATES.map(([service, perSecond]) =>
    fleet.call(service, { ...load, perSecond })
  );
  await sleep(FAULT_FREE_MS);
  const faultsPlayed = await injectFaults(fleet, random, options);
  await Promise.all(callers);
  const worst = findWorstWindows(fleet.listArrivals(), RETRY_TERMS);
  const { outcomes } = fleet;
  return {
    seed,
    requests: outcomes.length,
    answered: outcomes.filter(isServed).length,
    faultsPlayed,
    worst,
    broken: [
      ...worst.filter(({ repeats, allowed }) => repeats > allowed)
        .map((window) =>
          `repeats beyond the budget: ${JSON.stringify(window)}`
        ),
      ...listUnserved(outcomes),
    ],
  };
}

async function injectFaults(
  fleet: CallTreeFleet,
  random: Random,
  { lengthMs, overlapping, nodesPerService }: TreeSoakOptions,
): Promise<number> {
  const endMs = performance.now() + lengthMs;
  const active = new Set<Promise<void>>();
  const faultyServices = new Set<string>();
  let count = 0;
  while (performance.now() < endMs) {
    const { service } = LEVELS[Math.floor(random() * LEVELS.length)]!;
    const member = { service, index: Math.floor(random() * nodesPerService) };
    const [kind, strength, length] = [random(), random(), random()];
    if (active.size < overlapping && !faultyServices.has(service)) {
      faultyServices.add(service);
      const injection = injectFault(fleet, member, { kind, strength, length })
        .finally(() => {
          faultyServices.delete(service);
          active.delete(injection);
        });
      active.add(injection);
      count += 1;
    }
    await sleep(random() * MAX_FAULT_INTERVAL_MS);
  }
  await Promise.all(active);
  return count;
}

async function injectFault(
  fleet: CallTreeFleet,
  member: TreeMember,
  { kind, strength, length }: {
    /** Selects the kind of fault, in [0, 1). */
    readonly kind: number;
    /** Scales the share of lost answers, in [0, 1). */
    readonly strength: number;
    /** Scales the duration of the fault, in [0, 1). */
    readonly length: number;
  },
): Promise<void> {
  if (kind < 0.5) {
    const nodes = kind < 0.25 ? fleet.nodes : fleet.listNodes(member.service);
    fleet.loseAnswers(strength / 3, nodes);
    await sleep(length * MAX_ANSWER_LOSS_MS);
    fleet.loseAnswers(0, nodes);
  } else if (kind < 0.8) {
    await fleet.pause(member, length * MAX_FREEZE_MS);
  } else {
    await fleet.restart(member);
  }
}

/** Lists too low shares of served requests, over all or of one kind. */
function listUnserved(outcomes: readonly TreeOutcome[]): readonly string[] {
  const overallRatio = computeServedRatio(outcomes);
  const shortages = 1 - overallRatio > MAX_UNSERVED_RATIO
    ? [`only ${overallRatio} of all served`]
    : [];
  const starved = REQUEST_RATES.flatMap(([service]) => {
    const servedRatio = computeServedRatio(
      outcomes.filter((outcome) => outcome.service === service),
    );
    return servedRatio < MIN_SERVED_RATIO * overallRatio
      ? [`${service} starved: ${servedRatio} served, ${overallRatio} of all`]
      : [];
  });
  return [...shortages, ...starved];
}

function computeServedRatio(outcomes: readonly TreeOutcome[]): number {
  return outcomes.filter(isServed).length / Math.max(1, outcomes.length);
}

function isServed({ status }: TreeOutcome): boolean {
  return status === 200;
}
