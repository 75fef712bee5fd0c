/** One soak: real processes, callers, and faults drawn by a seed. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";
import { waitFor } from "../platform/standin/platform_fleet.ts";
import { callUntilOver } from "./soak_callers.ts";
import type { SoakOutcome } from "./soak_callers.ts";
import { listFaults } from "./soak_checks.ts";
import type { Disturbance } from "./soak_checks.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakMember, SoakSize } from "./soak_fleet.ts";

/** How a soak is played. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  readonly lengthMs: number;
  /** Callers at each entry. */
  readonly callers: number;
  /** Faults that are in progress at a time, at most. */
  readonly overlapping: number;
}

/** What came of it. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faultsPlayed: number;
  readonly changes: number;
  readonly broken: readonly string[];
}

/** The size of the short run. */
export const SHORT_SOAK = {
  entries: 2,
  backends: 3,
  replicas: 3,
  callers: 6,
  lengthMs: 12_000,
  overlapping: 2,
} as const;

const WARM_UP_MS = 500;
const SETTLE_MS = 1_500;
const MAX_FREEZE_MS = 900;
const MAX_DOWN_MS = 800;
const MAX_GAP_MS = 900;

/** Plays one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  await using fleet = await SoakFleet.open(options);
  const random = createRandom(options.seed);
  const outcomes: SoakOutcome[] = [];
  let isOver = false;
  const callers = startCallers(fleet, options, {
    isOver: () => isOver,
    note: (outcome) => outcomes.push(outcome),
  });
  await sleep(WARM_UP_MS);
  const played = await playFaults(fleet, random, options);
  await sleep(SETTLE_MS);
  const broken = [...await listUnrecovered(fleet, outcomes)];
  isOver = true;
  await Promise.all(callers);
  broken.push(...listFaults({
    outcomes,
    runs: fleet.listRuns(),
    stops: fleet.stops,
    disturbances: played.disturbances,
  }));
  return {
    seed: options.seed,
    requests: outcomes.length,
    answered: outcomes.filter(({ status }) => status === 200).length,
    faultsPlayed: played.count,
    changes: played.changes,
    broken,
  };
}

function startCallers(
  fleet: SoakFleet,
  { callers, seed }: SoakOptions,
  watch: {
    readonly isOver: () => boolean;
    readonly note: (outcome: SoakOutcome) => void;
  },
): readonly Promise<void>[] {
  let nextId = 1;
  const createId = () => `s${nextId++}`;
  return fleet.entries.flatMap(({ callers: entry }, at) =>
    Array.from({ length: callers }, (_, one) =>
      callUntilOver({
        entry,
        random: createRandom(seed * 1_000 + at * 100 + one),
        createId,
        ...watch,
      }))
  );
}

interface PlayedFaults {
  readonly count: number;
  readonly changes: number;
  readonly disturbances: readonly Disturbance[];
}

/** Faults come in series and overlap; each process has one at a time. */
async function playFaults(
  fleet: SoakFleet,
  random: Random,
  { lengthMs, overlapping }: SoakOptions,
): Promise<PlayedFaults> {
  const endMs = performance.now() + lengthMs;
  const disturbances: Disturbance[] = [];
  const open = new Set<Promise<void>>();
  let count = 0;
  let changes = 0;
  while (performance.now() < endMs) {
    const member = fleet.members[Math.floor(random() * fleet.members.length)]!;
    const kind = random();
    const lengthOfFault = random();
    if (open.size < overlapping && !isQuorumAtRisk(fleet, member)) {
      const startMs = performance.now();
      const play = playFault(fleet, member, { kind, lengthOfFault })
        .then((isPlanned) => {
          if (!isPlanned) {
            disturbances.push({ startMs, endMs: performance.now() });
          }
        })
        .finally(() => open.delete(play));
      open.add(play);
      count += 1;
    }
    if (random() < 0.4) {
      changes += await fleet.change() ? 1 : 0;
    }
    await sleep(random() * MAX_GAP_MS);
  }
  await Promise.all(open);
  return { count, changes, disturbances };
}

/** Plays one fault; whether it was a planned stop. */
async function playFault(
  fleet: SoakFleet,
  member: SoakMember,
  { kind, lengthOfFault }: {
    readonly kind: number;
    readonly lengthOfFault: number;
  },
): Promise<boolean> {
  if (kind < 0.35) {
    await fleet.restart(member);
    return true;
  }
  if (kind < 0.6) {
    await fleet.freeze(member, lengthOfFault * MAX_FREEZE_MS);
  } else if (kind < 0.8) {
    await fleet.slow(member, lengthOfFault * 2 * MAX_FREEZE_MS);
  } else {
    await fleet.kill(member, lengthOfFault * MAX_DOWN_MS);
  }
  return false;
}

/** Whether fewer than most of the replicas would run. */
function isQuorumAtRisk(fleet: SoakFleet, member: SoakMember): boolean {
  const replicas = fleet.members.filter(({ role }) => role === "replica");
  const busy = replicas.filter(({ isBusy }) => isBusy).length;
  return member.isBusy ||
    member.role === "replica" && 2 * (busy + 1) >= replicas.length;
}

/** Once nothing is disturbed, each entry serves, and no change is lost. */
async function listUnrecovered(
  fleet: SoakFleet,
  outcomes: readonly SoakOutcome[],
): Promise<readonly string[]> {
  const sinceMs = performance.now();
  const broken: string[] = [];
  for (const { callers } of fleet.entries) {
    const isServed = () =>
      outcomes.some(({ entry, status, sentAtMs }) =>
        entry === callers && status === 200 && sentAtMs > sinceMs
      );
    await waitFor(isServed)
      .catch(() => broken.push(`entry ${callers} serves nothing in calm`));
  }
  const version = await fleet.readVersion();
  if (version !== fleet.version) {
    broken.push(`version ${version} is read, ${fleet.version} acknowledged`);
  }
  return broken;
}
