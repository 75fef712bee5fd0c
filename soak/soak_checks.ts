/** What must hold of a soak, from what callers and backend servers saw. */
import type { BackendRun } from "../platform/standin/standin_backend.ts";
import type { SoakOutcome } from "./soak_callers.ts";
import type { PlannedStop } from "./soak_fleet.ts";

/** All that was seen. */
export interface SoakRecord {
  readonly outcomes: readonly SoakOutcome[];
  readonly runs: readonly BackendRun[];
  readonly stops: readonly PlannedStop[];
  /** Spans in which some process was frozen, slowed, killed or started. */
  readonly disturbances: readonly Disturbance[];
}

/** A span of the steady clock. */
export interface Disturbance {
  readonly startMs: number;
  readonly endMs: number;
}

/** Work must not begin that long after its caller has left. */
const GONE_MS = 500;
/** Machines count as sound again so long after a disturbance. */
const STABLE_MS = 3_000;
const GRACE_MS = 6_000;
/** Statuses that say that a request ran nowhere and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Lists what was broken, a line each. */
export function listFaults(record: SoakRecord): readonly string[] {
  const { outcomes, runs, stops } = record;
  const runsById = new Map<string, readonly BackendRun[]>();
  for (const run of runs) {
    const before = runsById.get(run.requestId) ?? [];
    runsById.set(run.requestId, [...before, run]);
  }
  const getRuns = (outcome: SoakOutcome) =>
    runsById.get(outcome.requestId) ?? [];
  return [
    ...outcomes.filter(isForeign).map((one) => `foreign answer: ${show(one)}`),
    ...outcomes.filter((one) => one.isTransfer && getRuns(one).length > 1)
      .map((one) => `run twice: ${show(one)}`),
    ...outcomes.filter((one) => isUntrue(one, getRuns(one)))
      .map((one) => `said not to have run, but ran: ${show(one)}`),
    ...outcomes.flatMap((one) => listLate(one, getRuns(one), record)),
    ...outcomes.filter((one) => isLost(one, getRuns(one), record))
      .map((one) => `cut without an answer in calm: ${show(one)}`),
    ...stops.filter(({ tookMs, exitCode }) =>
      tookMs > GRACE_MS || exitCode !== 0
    )
      .map((stop) => `stop not in its grace: ${JSON.stringify(stop)}`),
  ];
}

function isForeign({ status, body, hasSeal, requestId, end }: SoakOutcome) {
  return end === "answered" && status === 200 &&
    (!hasSeal || body !== `answer to ${requestId}`);
}

function isUntrue(outcome: SoakOutcome, runs: readonly BackendRun[]): boolean {
  const { isTransfer, status } = outcome;
  return isTransfer && NOT_RUN.has(status ?? 0) && runs.length > 0;
}

/** Counts from the end of the last disturbance, where that came later. */
function listLate(
  outcome: SoakOutcome,
  runs: readonly BackendRun[],
  { disturbances }: SoakRecord,
): readonly string[] {
  if (outcome.end !== "left") {
    return [];
  }
  return runs.flatMap(({ beganAtMs }) => {
    const heardAtMs = disturbances
      .filter(({ startMs, endMs }) =>
        startMs < beganAtMs && endMs > outcome.endedAtMs
      )
      .reduce((last, { endMs }) => Math.max(last, endMs), outcome.endedAtMs);
    const lateMs = Math.round(beganAtMs - heardAtMs);
    return lateMs > GONE_MS
      ? [`begun ${lateMs} ms late: ${show(outcome)}`]
      : [];
  });
}

/** A request that has run, or was read, ends with an answer in calm times. */
function isLost(
  { end, sentAtMs, endedAtMs }: SoakOutcome,
  runs: readonly BackendRun[],
  { disturbances }: SoakRecord,
): boolean {
  const isCalm = disturbances.every(({ startMs, endMs }) =>
    endMs + STABLE_MS < sentAtMs || startMs > endedAtMs
  );
  return end === "cut" && isCalm && runs.length > 0;
}

function show({ requestId, entry, status, end }: SoakOutcome): string {
  return `${requestId} at ${entry}, ${end} ${status ?? "without a status"}`;
}
