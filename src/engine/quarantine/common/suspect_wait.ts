/** How long a suspect may wait for its turn at a backend server. */
import type { CrashEvidence } from "./crash_evidence.ts";

/**
 * Part of its time for which a call may wait in any case: an innocent request
 * that an end from outside hit late would get no turn otherwise.
 */
const ASSURED_WAIT_SHARE = 1 / 2;

/**
 * Computes until when a suspect may be handed over, steady clock in ms. A run
 * with less time than it took to end a server proves nothing about the request:
 * the backend server may stop it just before.
 */
export function computeLatestStartMs(
  { arrivedAtMs, deadlineMs }: {
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
  },
  evidence: readonly CrashEvidence[],
): number {
  const endsAfterMs = evidence.flatMap(({ ends }) =>
    ends.flatMap(({ afterMs }) => afterMs ?? [])
  );
  const assuredWaitMs = (deadlineMs - arrivedAtMs) * ASSURED_WAIT_SHARE;
  return Math.max(
    arrivedAtMs + assuredWaitMs,
    deadlineMs - Math.min(...endsAfterMs),
  );
}
