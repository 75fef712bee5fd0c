/**
 * One soak of a call tree: real processes, callers at several levels, and
 * answers lost, nodes frozen and killed as a seed draws them.
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

/** How a soak is played. */
export interface TreeSoakOptions {
  readonly seed: number;
  readonly nodesPerService: number;
  readonly lengthMs: number;
  /** Faults that are in progress at a time, at most. */
  readonly overlapping: number;
}

/** What came of it. */
export interface TreeSoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faultsPlayed: number;
  readonly worst: readonly WorstWindow[];
  readonly broken: readonly string[];
}

/** The size of the short run. */
export const SHORT_TREE_SOAK = {
  nodesPerService: 2,
  lengthMs: 16_000,
  overlapping: 2,
} as const;

const LEVELS = [
  { service: "top", calls: 2 },
  { service: "upper", calls: 1 },
  { service: "lower", calls: 4 },
  { service: "bottom", calls: 0 },
];
/** Requests of callers a second, by service. */
const RATES = [["top", 24], ["lower", 6], ["bottom", 8]] as const;
/** The budget in the settings of the fleet. */
const TERMS = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const SLOTS = 64;
const CALM_MS = 4_000;
const MAX_GAP_MS = 700;
const MAX_LOSS_MS = 5_000;
const MAX_FREEZE_MS = 900;
/** Most of all requests that may be refused or fail. */
const MAX_UNSERVED = 0.6;
/** Each kind of request is served this often at least, as a part of all. */
const LEAST_PART = 0.25;

/** Plays one seed. */
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
  const load = { lengthMs: CALM_MS + lengthMs };
  const callers = RATES.map(([service, perSecond]) =>
    fleet.call(service, { ...load, perSecond })
  );
  await sleep(CALM_MS);
  const faultsPlayed = await playFaults(fleet, random, options);
  await Promise.all(callers);
  const worst = findWorstWindows(fleet.listArrivals(), TERMS);
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

async function playFaults(
  fleet: CallTreeFleet,
  random: Random,
  { lengthMs, overlapping, nodesPerService }: TreeSoakOptions,
): Promise<number> {
  const endMs = performance.now() + lengthMs;
  const open = new Set<Promise<void>>();
  const busy = new Set<string>();
  let count = 0;
  while (performance.now() < endMs) {
    const { service } = LEVELS[Math.floor(random() * LEVELS.length)]!;
    const member = { service, index: Math.floor(random() * nodesPerService) };
    const [kind, strength, length] = [random(), random(), random()];
    if (open.size < overlapping && !busy.has(service)) {
      busy.add(service);
      const play = playFault(fleet, member, { kind, strength, length })
        .finally(() => {
          busy.delete(service);
          open.delete(play);
        });
      open.add(play);
      count += 1;
    }
    await sleep(random() * MAX_GAP_MS);
  }
  await Promise.all(open);
  return count;
}

async function playFault(
  fleet: CallTreeFleet,
  member: TreeMember,
  { kind, strength, length }: {
    readonly kind: number;
    readonly strength: number;
    readonly length: number;
  },
): Promise<void> {
  if (kind < 0.5) {
    const nodes = kind < 0.25 ? fleet.nodes : fleet.listNodes(member.service);
    fleet.loseAnswers(strength / 3, nodes);
    await sleep(length * MAX_LOSS_MS);
    fleet.loseAnswers(0, nodes);
  } else if (kind < 0.8) {
    await fleet.pause(member, length * MAX_FREEZE_MS);
  } else {
    await fleet.restart(member);
  }
}

/** Too few served of all, or of one kind of request. */
function listUnserved(outcomes: readonly TreeOutcome[]): readonly string[] {
  const all = computeServed(outcomes);
  const short = 1 - all > MAX_UNSERVED ? [`only ${all} of all served`] : [];
  const starved = RATES.flatMap(([service]) => {
    const served = computeServed(
      outcomes.filter((outcome) => outcome.service === service),
    );
    return served < LEAST_PART * all
      ? [`${service} starved: ${served} served, ${all} of all`]
      : [];
  });
  return [...short, ...starved];
}

function computeServed(outcomes: readonly TreeOutcome[]): number {
  return outcomes.filter(isServed).length / Math.max(1, outcomes.length);
}

function isServed({ status }: TreeOutcome): boolean {
  return status === 200;
}
