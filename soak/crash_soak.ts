/**
 * One soak test of requests that end the backend servers that run them, beside
 * ends from outside and killed or frozen processes, drawn from a seed.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import {
  CrashFleet,
  FRONT,
  TRANSFER,
  WORKER,
} from "../platform/standin/crash_fleet.ts";
import type {
  PlatformNode,
  PlatformProcess,
} from "../platform/standin/platform_fleet.ts";
import { computeServedShare } from "../platform/standin/crash_rules.ts";
import type { Interval, ServedShare } from "../platform/standin/crash_rules.ts";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";

/** Parameters of a soak test of such requests. */
export interface CrashSoakOptions {
  readonly seed: number;
  /** Duration of fault injection. */
  readonly lengthMs: number;
  /** Maximum number of faults in progress at the same time. */
  readonly overlapping: number;
  readonly workers: number;
}

/** The result of a soak test of such requests. */
export interface CrashSoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faultsPlayed: number;
  /** Backend servers that ended, from outside too. */
  readonly ends: number;
  /** Runs of each request that ends backend servers, by its name. */
  readonly runs: Readonly<Record<string, number>>;
  /** Requests with too little time that a backend server answered in vain. */
  readonly expired: number;
  /**
   * The other requests that no killed or frozen process, or lack of backend
   * servers, excuses, and those of the end, in which no fault begins.
   */
  readonly calm: ServedShare;
  readonly last: ServedShare;
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** Parameters of the short soak test. */
export const SHORT_CRASH_SOAK = {
  lengthMs: 16_000,
  overlapping: 2,
  workers: 4,
} as const;

/** Names of the requests; each has its own route and content. */
const NAMES = ["first", "second", "third"];
const ROUTES = [WORKER, FRONT, TRANSFER];
const REQUESTS_PER_SECOND = 60;
const MAX_REQUEST_INTERVAL_MS = 900;
const MAX_FAULT_INTERVAL_MS = 1_500;
const MAX_FREEZE_MS = 900;
/** Share of the requests with too little time, and that time. */
const SHORT_RATIO = 0.4;
const SHORT_TIMEOUT_MS = 60;
/** Ends after which further runs are counted, and how many are allowed. */
const COUNTED_ENDS = 3;
const MAX_LATE_RUNS = 3;
/** Time after its third end, and after a fault, until a run counts. */
const SETTLING_MS = 3_000;
/** Time after a fault until requests count as far from it. */
const RECOVERY_MS = 4_000;
const MIN_SERVED_SHARE = 0.98;
/** Time from the end of a backend server until its next instance has calls. */
const MAX_DOWN_MS = 2_000;

/** Runs the soak test of one seed. */
export async function runCrashSoak(
  options: CrashSoakOptions,
): Promise<CrashSoakReport> {
  const { seed, lengthMs, workers } = options;
  const random = createRandom(seed);
  await using fleet = await CrashFleet.open(createRandom(seed + 1), {
    workers,
  });
  const load = fleet.callOthers({
    perSecond: REQUESTS_PER_SECOND,
    lengthMs: lengthMs + 2 * RECOVERY_MS,
  });
  const endMs = performance.now() + lengthMs;
  const sent = sendCrashing(fleet, {
    random: createRandom(seed + 2),
    drawTime: createRandom(seed + 3),
    endMs,
  });
  const faults = await injectFaults(fleet, random, options);
  await Promise.all([load, sent]);
  const broken: string[] = [];
  const runs = Object.fromEntries(NAMES.map((name) => {
    const found = listRuns(fleet, name);
    const fromMs = findCountedEndMs(fleet, name) + SETTLING_MS;
    const late = found.filter(({ beganAtMs, entry }) =>
      beganAtMs > fromMs && isInTouch(entry, beganAtMs, faults)
    );
    if (late.length > MAX_LATE_RUNS) {
      broken.push(`${name} ran ${late.length} times after it had ended three`);
    }
    return [name, found.length] as const;
  }));
  const ends = fleet.listEnds();
  const excused = [
    ...faults.filter(({ entries }) => entries?.length !== 0),
    ...listShortages(ends, workers),
  ];
  const calm = computeServedShare(fleet.outcomes, {
    fromMs: -Infinity,
    excused,
  });
  const last = computeServedShare(fleet.outcomes, {
    fromMs: performance.now() - RECOVERY_MS,
  });
  for (const [name, { share }] of Object.entries({ calm, last })) {
    if (share < MIN_SERVED_SHARE) {
      broken.push(`only ${share} of the others served: ${name}`);
    }
  }
  return {
    seed,
    requests: fleet.outcomes.length,
    answered: fleet.outcomes.filter(({ status }) => status === 200).length,
    faultsPlayed: faults.length,
    ends: ends.length,
    runs,
    expired: fleet.crashingOutcomes
      .filter(({ status }) => status === 504).length,
    calm,
    last,
    broken,
  };
}

/** Lists the intervals in which all backend servers but one have ended. */
function listShortages(
  ends: readonly { readonly atMs: number }[],
  workers: number,
): readonly Interval[] {
  return ends
    .filter(({ atMs }) =>
      ends.filter((other) =>
        other.atMs <= atMs && other.atMs > atMs - MAX_DOWN_MS
      ).length >= workers - 1
    )
    .map(({ atMs }) => ({ startMs: atMs, endMs: atMs + MAX_DOWN_MS }));
}

interface NodeFault extends Interval {
  /** Entries that it excuses; undefined for all. */
  readonly entries: readonly string[] | undefined;
}

/**
 * Sends the requests that end backend servers. Some have too little time left
 * for that: they are answered with a failure first, which proves nothing.
 */
async function sendCrashing(
  fleet: CrashFleet,
  { random, drawTime, endMs }: {
    readonly random: Random;
    /** Draws whether a request has too little time. */
    readonly drawTime: Random;
    readonly endMs: number;
  },
): Promise<void> {
  const sent: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const index = Math.floor(random() * NAMES.length);
    const options = { route: ROUTES[index]!, name: NAMES[index]! };
    const copies = random() < 0.2 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const time = drawTime() < SHORT_RATIO
        ? { timeoutMs: SHORT_TIMEOUT_MS }
        : {};
      sent.push(fleet.sendCrashing({ ...options, ...time }));
    }
    await sleep(random() * MAX_REQUEST_INTERVAL_MS);
  }
  await Promise.all(sent);
}

async function injectFaults(
  fleet: CrashFleet,
  random: Random,
  { lengthMs, overlapping }: CrashSoakOptions,
): Promise<readonly NodeFault[]> {
  const endMs = performance.now() + lengthMs;
  const faults: NodeFault[] = [];
  const active = new Set<Promise<void>>();
  /** Addresses of the VMs whose processes have a fault; each has one at most. */
  const busy = new Set<string>();
  while (performance.now() < endMs) {
    const fault = drawFault(fleet, random);
    const ips = [...fault.nodes, ...fault.replicas].map(({ ip }) => ip);
    if (active.size < overlapping && !ips.some((ip) => busy.has(ip))) {
      ips.forEach((ip) => busy.add(ip));
      const startMs = performance.now();
      const injection = injectFault(fleet, fault).then(() => {
        const recoveredMs = performance.now() + RECOVERY_MS;
        const entries = listDisturbedEntries(fault);
        faults.push({ startMs, endMs: recoveredMs, entries });
      }).finally(() => {
        ips.forEach((ip) => busy.delete(ip));
        active.delete(injection);
      });
      active.add(injection);
    }
    await sleep(random() * MAX_FAULT_INTERVAL_MS);
  }
  await Promise.all(active);
  return faults;
}

interface CrashSoakFault {
  readonly type: "end" | "kill" | "freeze";
  readonly nodes: readonly PlatformNode[];
  readonly replicas: readonly PlatformProcess[];
  readonly lengthMs: number;
}

/** Lists the entries that a fault disturbs; undefined for all. */
function listDisturbedEntries(
  { type, nodes, replicas }: CrashSoakFault,
): readonly string[] | undefined {
  if (replicas.length > 0) {
    return undefined;
  }
  return type === "end" ? [] : nodes.map(({ callers }) => callers);
}

function drawFault(fleet: CrashFleet, random: Random): CrashSoakFault {
  const [kind, which, length] = [random(), random(), random()];
  const select = (nodes: readonly PlatformNode[]) => ({
    nodes: [nodes[Math.floor(which * nodes.length)]!],
    replicas: [],
    lengthMs: length * MAX_FREEZE_MS,
  });
  if (kind < 0.35) {
    return { type: "end", ...select(fleet.workers) };
  }
  if (kind < 0.6) {
    return { type: "kill", ...select(fleet.nodes) };
  }
  if (kind < 0.85) {
    return { type: "freeze", ...select(fleet.nodes) };
  }
  const { nodes, replicas } = fleet;
  const killed = kind < 0.95 ? { nodes, replicas: [] } : { nodes, replicas };
  return { type: "kill", ...killed, lengthMs: 0 };
}

async function injectFault(
  fleet: CrashFleet,
  fault: CrashSoakFault,
): Promise<void> {
  const [node] = fault.nodes;
  switch (fault.type) {
    case "end":
      return await node!.backend.endInstance();
    case "kill":
      return await fleet.kill(fault);
    case "freeze":
      return await fleet.pause(node!, fault.lengthMs);
  }
}

/**
 * Finds when the run began that made `COUNTED_ENDS` ends by a request; infinite
 * without so many.
 */
function findCountedEndMs(fleet: CrashFleet, name: string): number {
  const begins = fleet.listEnds()
    .flatMap(({ run }) => run?.path.endsWith(`-${name}`) ? [run.beganAtMs] : [])
    .sort((a, b) => a - b);
  return begins[COUNTED_ENDS - 1] ?? Infinity;
}

/** Lists the runs of a request, with the entry of the caller's attempt. */
function listRuns(fleet: CrashFleet, name: string) {
  const entries = new Map(
    fleet.crashingOutcomes.map(({ requestId, entry }) => [requestId, entry]),
  );
  return fleet.listCrashingRuns()
    .filter(({ path }) => path.endsWith(`-${name}`))
    .map(({ requestId, beganAtMs }) => ({
      beganAtMs,
      entry: entries.get(requestId),
    }));
}

/** Whether no fault disturbed an entry, or all of them, in the time before. */
function isInTouch(
  entry: string | undefined,
  atMs: number,
  faults: readonly NodeFault[],
): boolean {
  return faults.every(({ startMs, endMs, entries }) =>
    startMs > atMs || endMs < atMs ||
    (entries !== undefined && entry !== undefined && !entries.includes(entry))
  );
}
