/** The suspects of a service as each of its nodes was told; bounded. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import type { Verdict } from "./quarantine_messages.ts";
import { MAX_QUARANTINE_MS } from "./quarantine_reducer.ts";
import type { Fingerprint } from "./quarantine_reducer.ts";

/** What a node was told of one suspect. */
export interface KnownSuspect {
  /** Refused until then, wall clock in milliseconds; 0 for a mere suspect. */
  readonly quarantinedUntilMs: number;
  /** Forgotten then, wall clock in milliseconds. */
  readonly expiresAtMs: number;
}

/** When suspects were cleared, wall clock in milliseconds; oldest first. */
export type ClearedSuspects = ReadonlyMap<Fingerprint, number>;

/** In the order in which they were last told. */
export type KnownSuspects = ReadonlyMap<Fingerprint, KnownSuspect>;

/** Most suspects that a node keeps; the oldest one goes first. */
export const MAX_KNOWN_SUSPECTS = 4_096;
/** A suspect of which nothing is heard is forgotten after this. */
const KNOWN_SUSPECT_TTL_MS = 2 * MAX_QUARANTINE_MS;

/**
 * How long a suspect that was cleared is not suspected anew: the word of the
 * crash before may come later than the word of its owner, by one time-out of
 * a message and its resend.
 */
const CLEARED_RETENTION_MS = 5_000;
/** A suspect that was told of so long ago is checked with its owner. */
const CHECK_DELAY_MS = 3_000;

/** Notes that a suspect was cleared; the oldest ones are forgotten. */
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

/** Whether a suspect was cleared so lately that it is not suspected anew. */
export function isRecentlyCleared(
  cleared: ClearedSuspects,
  fingerprint: Fingerprint,
  nowMs: number,
): boolean {
  const clearedAtMs = cleared.get(fingerprint);
  return clearedAtMs !== undefined &&
    nowMs - clearedAtMs < CLEARED_RETENTION_MS;
}

/** Lists mere suspects that all nodes must have heard of by now. */
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

/** Notes suspects; one that is in quarantine stays there. */
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

/** Notes what the owner decided. */
export function recordVerdict(
  known: KnownSuspects,
  verdict: Verdict,
  nowMs: number,
): KnownSuspects {
  const { fingerprint, isCleared, quarantineMs } = verdict;
  if (isCleared) {
    return deleteEntry(known, fingerprint);
  }
  const noted = recordSuspects(known, [fingerprint], nowMs);
  const quarantinedUntilMs = quarantineMs > 0 ? nowMs + quarantineMs : 0;
  const suspect = noted.get(fingerprint)!;
  return setEntry(noted, fingerprint, { ...suspect, quarantinedUntilMs });
}

/** Forgets the suspects of which nothing was heard for long. */
export function expireSuspects(
  known: KnownSuspects,
  nowMs: number,
): KnownSuspects {
  // The one that was told first expires first.
  const [oldest] = known.values();
  if (oldest === undefined || oldest.expiresAtMs > nowMs) {
    return known;
  }
  return new Map([...known].filter(([, one]) => one.expiresAtMs > nowMs));
}
