/** The suspects of a service as reported to each of its nodes; bounded. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import type { Verdict } from "./quarantine_messages.ts";
import { MAX_QUARANTINE_MS } from "./quarantine_reducer.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/** State of one suspect, as last reported to the node. */
export interface KnownSuspect {
  /** End of its quarantine, steady clock in ms; 0 if it is not in quarantine. */
  readonly quarantinedUntilMs: number;
  /** When the entry expires, steady clock in milliseconds. */
  readonly expiresAtMs: number;
}

/** Times at which suspects were cleared, steady clock in ms; oldest first. */
export type ClearedSuspects = ReadonlyMap<Fingerprint, number>;

/** Known suspects in the order in which they were last reported. */
export type KnownSuspects = ReadonlyMap<Fingerprint, KnownSuspect>;

/** Maximum number of suspects at a node; the oldest one is evicted first. */
export const MAX_KNOWN_SUSPECTS = 4_096;
/** A suspect without reports expires after this time. */
const KNOWN_SUSPECT_TTL_MS = 2 * MAX_QUARANTINE_MS;

/**
 * Time for which a cleared suspect is not suspected again. The report of the
 * earlier crash may arrive after the owner's verdict, by up to the timeout of
 * one message and its resend.
 */
const CLEARED_RETENTION_MS = 5_000;
/** Time after its last report at which a suspect is checked with its owner. */
const CHECK_DELAY_MS = 3_000;

/** Records that a suspect was cleared; evicts the oldest entries. */
export function recordCleared(
  cleared: ClearedSuspects,
  fingerprint: Fingerprint,
  nowMs: number,
): ClearedSuspects {
  const next = new Map(cleared);
  next.delete(fingerprint);
  next.set(fingerprint, nowMs);
  for (const oldest of next.keys()) {
    if (next.size <= MAX_KNOWN_SUSPECTS) {
      break;
    }
    next.delete(oldest);
  }
  return next;
}

/** Whether a suspect was cleared too recently to be suspected again. */
export function isRecentlyCleared(
  cleared: ClearedSuspects,
  fingerprint: Fingerprint,
  nowMs: number,
): boolean {
  const clearedAtMs = cleared.get(fingerprint);
  return clearedAtMs !== undefined &&
    nowMs - clearedAtMs < CLEARED_RETENTION_MS;
}

/**
 * Lists the suspects not in quarantine whose last report is at least
 * `CHECK_DELAY_MS` old, so that all nodes must have received it.
 */
export function listSuspectsToCheck(
  known: KnownSuspects,
  nowMs: number,
): readonly Fingerprint[] {
  return [...known]
    .filter(([, { quarantinedUntilMs, expiresAtMs }]) =>
      quarantinedUntilMs === 0 &&
      nowMs - (expiresAtMs - KNOWN_SUSPECT_TTL_MS) >= CHECK_DELAY_MS
    )
    .map(([fingerprint]) => fingerprint);
}

/** Records suspects; those in quarantine remain in it. */
export function recordSuspects(
  known: KnownSuspects,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
): KnownSuspects {
  if (fingerprints.length === 0) {
    return known;
  }
  const next = new Map(known);
  for (const fingerprint of fingerprints) {
    const quarantinedUntilMs = next.get(fingerprint)?.quarantinedUntilMs ?? 0;
    next.delete(fingerprint);
    const expiresAtMs = nowMs + KNOWN_SUSPECT_TTL_MS;
    next.set(fingerprint, { quarantinedUntilMs, expiresAtMs });
  }
  for (const oldest of next.keys()) {
    if (next.size <= MAX_KNOWN_SUSPECTS) {
      break;
    }
    next.delete(oldest);
  }
  return next;
}

/** Records the verdict of the owner of a suspect. */
export function recordVerdict(
  known: KnownSuspects,
  verdict: Verdict,
  nowMs: number,
): KnownSuspects {
  const { fingerprint, isCleared, quarantineMs } = verdict;
  if (isCleared) {
    return deleteEntry(known, fingerprint);
  }
  const recorded = recordSuspects(known, [fingerprint], nowMs);
  const quarantinedUntilMs = quarantineMs > 0 ? nowMs + quarantineMs : 0;
  const suspect = recorded.get(fingerprint)!;
  return setEntry(recorded, fingerprint, { ...suspect, quarantinedUntilMs });
}

/** Removes the expired suspects. */
export function expireSuspects(
  known: KnownSuspects,
  nowMs: number,
): KnownSuspects {
  // The suspect whose last report is the oldest expires first.
  const [oldest] = known.values();
  if (oldest === undefined || oldest.expiresAtMs > nowMs) {
    return known;
  }
  return new Map(
    [...known].filter(([, suspect]) => suspect.expiresAtMs > nowMs),
  );
}
