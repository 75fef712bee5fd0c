/**
 * Invariants of a soak test, checked against the requests that callers sent and
 * the runs that backend servers recorded.
 */
import type { BackendRun } from "../platform/standin/standin_backend.ts";
import type { SoakOutcome } from "./soak_callers.ts";
import type { PlannedStop } from "./soak_fleet.ts";

/** Observations of one soak test. */
export interface SoakRecord {
  readonly outcomes: readonly SoakOutcome[];
  readonly runs: readonly BackendRun[];
  readonly stops: readonly PlannedStop[];
  /** Intervals in which a process was frozen, slowed, killed or restarted. */
  readonly disturbances: readonly Disturbance[];
}

/** An interval of the monotonic clock. */
export interface Disturbance {
  readonly startMs: number;
  readonly endMs: number;
}

/** Longest time after a caller left at which its request may begin to run. */
const MAX_START_DELAY_MS = 500;
/** Time after a disturbance until the fleet is expected to have recovered. */
const RECOVERY_MS = 3_000;
/** Longest time that a process may take to exit after SIGTERM. */
const GRACE_PERIOD_MS = 6_000;
/** Statuses that guarantee that the request did not run and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Lists the violated invariants, one line each. */
export function listViolations(record: SoakRecord): readonly string[] {
  const { outcomes, runs, stops } = record;
  const runsById = new Map<string, readonly BackendRun[]>();
  for (const run of runs) {
    const previous = runsById.get(run.requestId) ?? [];
    runsById.set(run.requestId, [...previous, run]);
  }
  const getRuns = (outcome: SoakOutcome) =>
    runsById.get(outcome.requestId) ?? [];
  return [
    ...outcomes.filter(isForeignAnswer).map((outcome) =>
      `foreign answer: ${formatOutcome(outcome)}`
    ),
    ...outcomes.filter((outcome) =>
      outcome.isTransfer && getRuns(outcome).length > 1
    )
      .map((outcome) => `run twice: ${formatOutcome(outcome)}`),
    ...outcomes.filter((outcome) => isFalselyNotRun(outcome, getRuns(outcome)))
      .map((outcome) =>
        `said not to have run, but ran: ${formatOutcome(outcome)}`
      ),
    ...outcomes.flatMap((outcome) =>
      listLateRuns(outcome, getRuns(outcome), record)
    ),
    ...outcomes.filter((outcome) =>
      isAnswerLost(outcome, getRuns(outcome), record)
    )
      .map((outcome) =>
        `cut without an answer in calm: ${formatOutcome(outcome)}`
      ),
    ...stops.filter(({ tookMs, exitCode }) =>
      tookMs > GRACE_PERIOD_MS || exitCode !== 0
    )
      .map((stop) => `stop not in its grace: ${JSON.stringify(stop)}`),
  ];
}

/** Whether a successful answer is not the backend server's to this request. */
function isForeignAnswer(
  { status, body, hasSeal, requestId, end }: SoakOutcome,
) {
  return end === "answered" && status === 200 &&
    (!hasSeal || body !== `answer to ${requestId}`);
}

/** Whether the caller received a not-run status for a request that ran. */
function isFalselyNotRun(
  outcome: SoakOutcome,
  runs: readonly BackendRun[],
): boolean {
  const { isTransfer, status } = outcome;
  return isTransfer && NOT_RUN_STATUSES.has(status ?? 0) && runs.length > 0;
}

/**
 * Lists runs that began too late after their caller left. A process that was
 * disturbed meanwhile could not observe the close, so the delay is measured
 * from the end of the last such disturbance.
 */
function listLateRuns(
  outcome: SoakOutcome,
  runs: readonly BackendRun[],
  { disturbances }: SoakRecord,
): readonly string[] {
  if (outcome.end !== "left") {
    return [];
  }
  return runs.flatMap(({ beganAtMs }) => {
    const noticeableAtMs = disturbances
      .filter(({ startMs, endMs }) =>
        startMs < beganAtMs && endMs > outcome.endedAtMs
      )
      .reduce((last, { endMs }) => Math.max(last, endMs), outcome.endedAtMs);
    const lateMs = Math.round(beganAtMs - noticeableAtMs);
    return lateMs > MAX_START_DELAY_MS
      ? [`begun ${lateMs} ms late: ${formatOutcome(outcome)}`]
      : [];
  });
}

/**
 * Whether a request that ran lost its connection without an answer, although
 * no process was disturbed or recovering while it was in progress.
 */
function isAnswerLost(
  { end, sentAtMs, endedAtMs }: SoakOutcome,
  runs: readonly BackendRun[],
  { disturbances }: SoakRecord,
): boolean {
  const isCalm = disturbances.every(({ startMs, endMs }) =>
    endMs + RECOVERY_MS < sentAtMs || startMs > endedAtMs
  );
  return end === "cut" && isCalm && runs.length > 0;
}

function formatOutcome({ requestId, entry, status, end }: SoakOutcome): string {
  return `${requestId} at ${entry}, ${end} ${status ?? "without a status"}`;
}
