/**
 * One soak test: processes, callers, and faults drawn from a generator with a
 * seed.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";
import { waitFor } from "../platform/standin/platform_fleet.ts";
import { callUntilStopped } from "./soak_callers.ts";
import type { SoakOutcome } from "./soak_callers.ts";
import { listViolations } from "./soak_checks.ts";
import type { Disturbance } from "./soak_checks.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakMember, SoakSize } from "./soak_fleet.ts";
import { listStatementViolations, playStatements } from "./soak_statements.ts";

/** Parameters of a soak test. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  /** Duration of fault injection. */
  readonly lengthMs: number;
  /** Callers of each entry node. */
  readonly callers: number;
  /** Maximum number of faults in progress at the same time. */
  readonly overlapping: number;
}

/** The result of a soak test. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faultsPlayed: number;
  /** Acknowledged changes of the routes. */
  readonly changes: number;
  /** Limits that backend servers named, and leaves that they announced. */
  readonly limits: number;
  readonly leaves: number;
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** Parameters of the short soak test. */
export const SHORT_SOAK = {
  entries: 2,
  backends: 3,
  replicas: 3,
  callers: 6,
  lengthMs: 12_000,
  overlapping: 2,
} as const;

const WARM_UP_MS = 500;
const RECOVERY_MS = 1_500;
const MAX_FREEZE_MS = 900;
const MAX_DOWNTIME_MS = 800;
const MAX_FAULT_INTERVAL_MS = 900;
/** Offset of the seeds of statements; those of callers lie below. */
const STATEMENT_SEED_BASE = 900;
/** Share of seeds in which one backend server makes no statements. */
const SPARING_RATIO = 0.7;

/** Runs the soak test of one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  await using fleet = await SoakFleet.open(options);
  const random = createRandom(options.seed);
  const outcomes: SoakOutcome[] = [];
  let isStopped = false;
  const callers = startCallers(fleet, options, {
    isStopped: () => isStopped,
    recordOutcome: (outcome) => outcomes.push(outcome),
  });
  await sleep(WARM_UP_MS);
  const createStatementRandom = (index: number) =>
    createRandom(options.seed * 1_000 + STATEMENT_SEED_BASE + index);
  const spared = createStatementRandom(-1)() < SPARING_RATIO ? 1 : 0;
  const statements = playStatements(
    fleet.backends.slice(spared),
    createStatementRandom,
    performance.now() + options.lengthMs,
  );
  const injected = await injectFaults(fleet, random, options);
  const said = await statements;
  await sleep(RECOVERY_MS);
  const broken = [...await listUnrecovered(fleet, outcomes)];
  isStopped = true;
  await Promise.all(callers);
  broken.push(...listViolations({
    outcomes,
    runs: fleet.listRuns(),
    stops: fleet.stops,
    disturbances: injected.disturbances,
  }));
  broken.push(...listStatementViolations(said, fleet.backends, {
    calls: outcomes,
    disturbances: fleet.entryDisturbances,
  }));
  return {
    seed: options.seed,
    requests: outcomes.length,
    answered: outcomes.filter(({ status }) => status === 200).length,
    faultsPlayed: injected.count,
    changes: injected.changes,
    limits: said.limits.length,
    leaves: said.leaves.length,
    broken,
  };
}

function startCallers(
  fleet: SoakFleet,
  { callers, seed }: SoakOptions,
  hooks: {
    readonly isStopped: () => boolean;
    readonly recordOutcome: (outcome: SoakOutcome) => void;
  },
): readonly Promise<void>[] {
  let nextId = 1;
  const createId = () => `s${nextId++}`;
  return fleet.entries.flatMap(({ callers: entry }, entryIndex) =>
    Array.from({ length: callers }, (_, callerIndex) =>
      callUntilStopped({
        entry,
        random: createRandom(seed * 1_000 + entryIndex * 100 + callerIndex),
        createId,
        ...hooks,
      }))
  );
}

interface InjectedFaults {
  readonly count: number;
  readonly changes: number;
  readonly disturbances: readonly Disturbance[];
}

/**
 * Injects faults and changes routes at random intervals. Faults of different
 * processes may overlap; a process has at most one at a time.
 */
async function injectFaults(
  fleet: SoakFleet,
  random: Random,
  { lengthMs, overlapping }: SoakOptions,
): Promise<InjectedFaults> {
  const endMs = performance.now() + lengthMs;
  const disturbances: Disturbance[] = [];
  const active = new Set<Promise<void>>();
  let count = 0;
  let changes = 0;
  while (performance.now() < endMs) {
    const member = fleet.members[Math.floor(random() * fleet.members.length)]!;
    const kind = random();
    const durationRatio = random();
    if (active.size < overlapping && !isQuorumAtRisk(fleet, member)) {
      const startMs = performance.now();
      const injection = injectFault(fleet, member, { kind, durationRatio })
        .then((isPlanned) => {
          if (!isPlanned) {
            disturbances.push({ startMs, endMs: performance.now() });
          }
        })
        .finally(() => active.delete(injection));
      active.add(injection);
      count += 1;
    }
    if (random() < 0.4) {
      changes += await fleet.changeRoutes() ? 1 : 0;
    }
    await sleep(random() * MAX_FAULT_INTERVAL_MS);
  }
  await Promise.all(active);
  return { count, changes, disturbances };
}

/** Injects one fault; returns whether it was a planned stop. */
async function injectFault(
  fleet: SoakFleet,
  member: SoakMember,
  { kind, durationRatio }: {
    /** Selects the kind of fault, in [0, 1). */
    readonly kind: number;
    /** Scales the duration of the fault, in [0, 1). */
    readonly durationRatio: number;
  },
): Promise<boolean> {
  if (kind < 0.35) {
    await fleet.restart(member);
    return true;
  }
  if (kind < 0.6) {
    await fleet.freeze(member, durationRatio * MAX_FREEZE_MS);
  } else if (kind < 0.8) {
    await fleet.slow(member, durationRatio * 2 * MAX_FREEZE_MS);
  } else {
    await fleet.kill(member, durationRatio * MAX_DOWNTIME_MS);
  }
  return false;
}

/**
 * Whether the process already has a fault, or a fault of it would leave the
 * control replicas without a majority.
 */
function isQuorumAtRisk(fleet: SoakFleet, member: SoakMember): boolean {
  const replicas = fleet.members.filter(({ role }) => role === "replica");
  const busy = replicas.filter(({ isBusy }) => isBusy).length;
  return member.isBusy ||
    member.role === "replica" && 2 * (busy + 1) >= replicas.length;
}

/**
 * Lists entry nodes that do not serve requests after the faults have ended, and
 * an acknowledged change of the routes that was lost.
 */
async function listUnrecovered(
  fleet: SoakFleet,
  outcomes: readonly SoakOutcome[],
): Promise<readonly string[]> {
  const recoveryStartMs = performance.now();
  const broken: string[] = [];
  for (const { callers } of fleet.entries) {
    const isServed = () =>
      outcomes.some(({ entry, status, sentAtMs }) =>
        entry === callers && status === 200 && sentAtMs > recoveryStartMs
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
