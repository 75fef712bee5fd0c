/**
 * The soak test of planned work: signals, restarts and changes of the routes in
 * series and overlapping, while callers send their requests in parts. Nothing
 * fails unplanned, so that each request that became complete needs an answer.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";
import type { BackendRun } from "../platform/standin/standin_backend.ts";
import { callInParts } from "./parts_callers.ts";
import type { PartsOutcome } from "./parts_callers.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { PlannedStop, SoakMember, SoakSize } from "./soak_fleet.ts";

/** Parameters of the soak test. */
export interface PartsSoakOptions extends SoakSize {
  readonly seed: number;
  /** Duration of the planned work. */
  readonly lengthMs: number;
  /** Callers of each entry node. */
  readonly callers: number;
  /** Maximum number of processes that are being stopped or started. */
  readonly overlapping: number;
}

/** The result of a soak test. */
export interface PartsSoakReport {
  readonly seed: number;
  readonly graceS: number;
  /** Requests that became complete. */
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  /** Cut by the end of the grace period, as the rules allow. */
  readonly excused: number;
  readonly stops: number;
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** Parameters of the short soak test. */
export const SHORT_PARTS_SOAK = {
  entries: 3,
  backends: 3,
  replicas: 3,
  callers: 40,
  lengthMs: 16_000,
  overlapping: 3,
} as const;

/** Grace periods of the seeds in turn, in seconds. */
const GRACES_S = [3, 6];
/** Service times of the backend servers, in turn. */
const SERVICE_TIMES_MS = [1_000, 400, 2_500];
/** Longer than any grace period, so that the callers' limits count. */
const ROUTE_TIMEOUT_MS = 8_000;
const MAX_INTERVAL_MS = 700;
/** Share of the work that is drawn for entry nodes alone: callers use these. */
const ENTRY_RATIO = 0.6;
const WARM_UP_MS = 1_000;
/** A request that is cut within this time of its last byte may be unread. */
const LOSS_SLACK_MS = 200;
/**
 * Part of the grace period after which no request that is sent may be cut, and
 * the latest such time: an earlier one may run longer than the process.
 */
const EXCUSED_RATIO = 0.5;
const MAX_EXCUSED_MS = 3_000;
/** Statuses that guarantee that the request did not run and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Runs the soak test of one seed. */
export async function runPartsSoak(
  options: PartsSoakOptions,
): Promise<PartsSoakReport> {
  const random = createRandom(options.seed);
  const graceS = GRACES_S[options.seed % GRACES_S.length]!;
  await using fleet = await SoakFleet.open(options, {
    bounds: { graceS },
    routeTimeoutMs: ROUTE_TIMEOUT_MS,
  });
  fleet.backends.forEach((backend, index) => {
    backend.serviceTimeMs = SERVICE_TIMES_MS[index % SERVICE_TIMES_MS.length]!;
  });
  const outcomes: PartsOutcome[] = [];
  let isStopped = false;
  let nextId = 1;
  const callers = fleet.entries.flatMap(({ callers: entry }, entryIndex) =>
    Array.from({ length: options.callers }, (_, callerIndex) =>
      callInParts({
        entry,
        random: createRandom(
          options.seed * 1_000 + entryIndex * 100 + callerIndex,
        ),
        createId: () => `p${nextId++}`,
        isStopped: () => isStopped,
        recordOutcome: (outcome) => outcomes.push(outcome),
      }))
  );
  await sleep(WARM_UP_MS);
  await playPlannedWork(fleet, random, options);
  isStopped = true;
  await Promise.all(callers);
  const record = {
    outcomes,
    runs: fleet.listRuns(),
    arrivals: new Set(fleet.listArrivals()),
    stops: fleet.stops,
    listLogLines: (id: string) => fleet.listLogLines(id),
  };
  const judged = judgeOutcomes(record, graceS * 1_000);
  return {
    seed: options.seed,
    graceS,
    requests: outcomes.length,
    answered: outcomes.filter(({ answer }) => answer?.status === 200).length,
    refused: outcomes.filter(({ answer }) => answer?.status === 503).length,
    excused: judged.excused,
    stops: fleet.stops.length,
    broken: judged.broken,
  };
}

/** Draws signals, restarts and changes of the routes at random intervals. */
async function playPlannedWork(
  fleet: SoakFleet,
  random: Random,
  { lengthMs, overlapping }: PartsSoakOptions,
): Promise<void> {
  const endMs = performance.now() + lengthMs;
  const active = new Set<Promise<void>>();
  while (performance.now() < endMs) {
    const candidates = random() < ENTRY_RATIO
      ? fleet.members.filter(({ name }) => name.startsWith("entry"))
      : fleet.members;
    const member = candidates[Math.floor(random() * candidates.length)]!;
    const kind = random();
    if (kind < 0.2) {
      await fleet.changeRoutes();
    } else if (kind < 0.4) {
      fleet.reload(member);
    } else if (active.size < overlapping && canStop(fleet, member)) {
      const stopping = fleet.restart(member)
        .finally(() => active.delete(stopping));
      active.add(stopping);
    }
    await sleep(random() * MAX_INTERVAL_MS);
  }
  await Promise.all(active);
}

/** Whether a majority of the process's kind goes on without it. */
function canStop(fleet: SoakFleet, member: SoakMember): boolean {
  const kind = member.name.split("-")[0]!;
  const peers = fleet.members.filter(({ name }) => name.startsWith(kind));
  const busy = peers.filter(({ isBusy }) => isBusy).length;
  return !member.isBusy && 2 * (busy + 1) < peers.length;
}

interface PartsRecord {
  readonly outcomes: readonly PartsOutcome[];
  readonly runs: readonly BackendRun[];
  /** Ids of requests that reached a backend server, which may hang. */
  readonly arrivals: ReadonlySet<string>;
  readonly stops: readonly PlannedStop[];
  /** Lists the log lines of all processes about a request. */
  readonly listLogLines: (requestId: string) => readonly string[];
}

/** Lists the violated invariants, and counts the requests excused from them. */
function judgeOutcomes(
  { outcomes, runs, arrivals, stops, listLogLines }: PartsRecord,
  graceMs: number,
): { readonly broken: readonly string[]; readonly excused: number } {
  const runCounts = new Map<string, number>();
  for (const { requestId } of runs) {
    runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
  }
  const broken: string[] = [];
  let excused = 0;
  for (const outcome of outcomes) {
    const count = runCounts.get(outcome.requestId) ?? 0;
    const fault = findFault(outcome, count);
    if (fault === undefined) {
      continue;
    }
    const isExcused = outcome.answer === undefined &&
      arrivals.has(outcome.requestId) &&
      stops.some((stop) => isCutAtEnd(outcome, stop, graceMs));
    excused += isExcused ? 1 : 0;
    if (!isExcused) {
      broken.push(
        [
          `${fault}: ${formatOutcome(outcome, count, stops)}`,
          outcome.connection,
          ...listLogLines(outcome.requestId),
        ].join("\n"),
      );
    }
  }
  const badStops = stops.filter(({ tookMs, exitCode }) =>
    tookMs > graceMs || exitCode !== 0
  );
  return {
    broken: [
      ...broken,
      ...badStops.map((stop) =>
        `stop not in its grace: ${JSON.stringify(stop)}`
      ),
    ],
    excused,
  };
}

/** Returns what was wrong with the end of a request; undefined if nothing was. */
function findFault(
  { requestId, isTransfer, answer, completeAtMs, closedAtMs }: PartsOutcome,
  runCount: number,
): string | undefined {
  if (isTransfer && runCount > 1) {
    return "run twice";
  }
  if (answer === undefined) {
    if (closedAtMs === undefined) {
      return "no answer";
    }
    const isLate = closedAtMs - completeAtMs > LOSS_SLACK_MS;
    return runCount > 0 || isLate ? "cut" : undefined;
  }
  if (NOT_RUN_STATUSES.has(answer.status) && runCount > 0) {
    return isTransfer ? "said not to have run, but ran" : undefined;
  }
  const isOwnAnswer = answer.body === `answer to ${requestId}`;
  return answer.status === 200 && !isOwnAnswer ? "foreign answer" : undefined;
}

/**
 * Whether a stop cut the request at the end of its grace period, although the
 * request was sent early: its run takes longer than the process may.
 */
function isCutAtEnd(
  { entry, completeAtMs, closedAtMs = 0 }: PartsOutcome,
  stop: PlannedStop,
  graceMs: number,
): boolean {
  const excusedMs = Math.min(MAX_EXCUSED_MS, graceMs * EXCUSED_RATIO);
  return stop.callers === entry && completeAtMs > stop.atMs - graceMs &&
    completeAtMs <= stop.atMs + excusedMs &&
    closedAtMs >= stop.atMs + graceMs * 5 / 6 &&
    closedAtMs <= stop.atMs + graceMs;
}

function formatOutcome(
  { requestId, entry, answer, completeAtMs, closedAtMs }: PartsOutcome,
  runCount: number,
  stops: readonly PlannedStop[],
): string {
  const stop = stops.findLast(({ callers, atMs }) =>
    callers === entry && atMs < (closedAtMs ?? completeAtMs)
  );
  const since = (atMs: number | undefined) =>
    atMs === undefined || stop === undefined
      ? "never"
      : `${Math.round(atMs - stop.atMs)} ms`;
  return `${requestId} at ${entry}, ${answer?.status ?? "no answer"}, ` +
    `${runCount} runs, complete ${since(completeAtMs)} and closed ` +
    `${since(closedAtMs)} after SIGTERM`;
}
