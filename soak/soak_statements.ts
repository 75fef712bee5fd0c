/**
 * Backend servers of a soak test that name limits and leave, beside the faults
 * of the processes, and the rules on both.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import type { StandinBackend } from "../platform/standin/standin_backend.ts";
import {
  findWorstLimitWindow,
  listArrivalsAfterLeave,
} from "../platform/standin/statement_rules.ts";
import type {
  NamedInterval,
  StatementRecord,
} from "../platform/standin/statement_rules.ts";

/** Interval in which a backend server said that it leaves. */
export interface LeaveInterval {
  readonly backend: string;
  readonly untilMs: number;
}

/** What the backend servers said in the course of a soak test. */
export interface SoakStatements {
  readonly limits: readonly NamedInterval[];
  readonly leaves: readonly LeaveInterval[];
}

/** Limits to draw from, in requests a second. */
const LIMITS = [0, 0.5, 7.1, 12.5, 40];
const LIMIT_RATIO = 0.7;
const MIN_STATEMENT_MS = 3_500;
const MAX_EXTRA_MS = 3_500;
const MAX_PAUSE_MS = 700;
/** Time that a leaving backend server may still get requests. */
const DRAIN_MS = 2_000;
const FIRST_STARTED_AT_MS = 1_000;

/**
 * Lets each backend server name limits and leave in turn until `endMs`. One
 * that has left is replaced by another process instance at its address.
 */
export async function playStatements(
  backends: readonly StandinBackend[],
  createBackendRandom: (index: number) => Random,
  endMs: number,
): Promise<SoakStatements> {
  const limits: NamedInterval[] = [];
  const leaves: LeaveInterval[] = [];
  await Promise.all(backends.map(async (backend, index) => {
    const random = createBackendRandom(index);
    let startedAtMs = FIRST_STARTED_AT_MS;
    while (performance.now() < endMs) {
      await sleep(random() * MAX_PAUSE_MS);
      const lengthMs = Math.min(
        MIN_STATEMENT_MS + random() * MAX_EXTRA_MS,
        endMs - performance.now(),
      );
      if (random() < LIMIT_RATIO) {
        const perSecond = LIMITS[Math.floor(random() * LIMITS.length)]!;
        limits.push(await nameLimit(backend, perSecond, lengthMs));
      } else {
        leaves.push(await leave(backend, lengthMs));
        backend.resetInstance(startedAtMs++);
      }
    }
  }));
  return { limits, leaves };
}

async function nameLimit(
  backend: StandinBackend,
  perSecond: number,
  lengthMs: number,
): Promise<NamedInterval> {
  const fromMs = performance.now();
  backend.namedLimit = String(perSecond);
  await sleep(lengthMs);
  backend.namedLimit = undefined;
  const untilMs = performance.now();
  return { backend: backend.address, perSecond, fromMs, untilMs };
}

async function leave(
  backend: StandinBackend,
  lengthMs: number,
): Promise<LeaveInterval> {
  backend.isLeaving = true;
  await sleep(lengthMs);
  backend.isLeaving = false;
  return { backend: backend.address, untilMs: performance.now() };
}

/** Lists limits that were exceeded, and requests behind a leave. */
export function listStatementViolations(
  { limits, leaves }: SoakStatements,
  backends: readonly StandinBackend[],
  record: Omit<StatementRecord, "arrivals">,
): readonly string[] {
  const listArrivals = (address: string) =>
    backends.find((backend) => backend.address === address)!.arrivals;
  const exceeded = limits
    .map((interval) =>
      findWorstLimitWindow(interval, {
        ...record,
        arrivals: listArrivals(interval.backend),
      })
    )
    .filter(({ requests, allowed }) => requests > allowed);
  const late = leaves.flatMap(({ backend, untilMs }, index) => {
    const previous = leaves.slice(0, index)
      .filter((other) => other.backend === backend).at(-1);
    const fromMs = previous?.untilMs ?? -Infinity;
    const arrivals = listArrivals(backend)
      .filter(({ atMs }) => atMs > fromMs && atMs <= untilMs);
    const calls = record.calls.filter(({ endedAtMs }) => endedAtMs > fromMs);
    return listArrivalsAfterLeave(backend, DRAIN_MS, {
      ...record,
      calls,
      arrivals,
    });
  });
  return [
    ...exceeded.map((window) => `beyond a limit: ${JSON.stringify(window)}`),
    ...late.map(({ requestId, atMs }) =>
      `sent to a leaving backend server: ${requestId} at ${Math.round(atMs)} ms`
    ),
  ];
}
