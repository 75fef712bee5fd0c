/** Evidence against requests on the wire, between nodes and with control. */
import type { CrashEvidence, EvidencedEnd } from "./crash_evidence.ts";

/** `EvidencedEnd` on the wire; former versions send and read three fields. */
export type WireEnd = readonly [
  instance: string,
  wasAlone: 0 | 1,
  others: number,
  afterMs?: number,
];

/** `CrashEvidence` on the wire; the last field is an age in milliseconds. */
export type WireEvidence = readonly [
  fingerprint: string,
  ends: readonly WireEnd[],
  pardoned: readonly string[],
  ageMs: number,
];

/** Evidence about requests of one service. */
export interface CrashReport {
  readonly service: string;
  readonly evidence: readonly WireEvidence[];
}

/** Reports of nodes or operators, as a serializable log entry. */
export interface CrashCommand {
  readonly type: "CrashesReported";
  readonly reports: readonly CrashReport[];
  /** When the reports arrived, by the replica's clock, in milliseconds. */
  readonly atMs: number;
}

/** Converts an end to its wire form. */
export function flattenEnd(
  { instance, wasAlone, others, afterMs }: EvidencedEnd,
): WireEnd {
  const end = [instance, wasAlone ? 1 : 0, others] as const;
  return afterMs === undefined ? end : [...end, afterMs];
}

/** Parses an end. */
export function parseEnd(
  [instance, wasAlone, others, afterMs]: WireEnd,
): EvidencedEnd {
  const end = { instance, wasAlone: wasAlone === 1, others };
  return afterMs === undefined ? end : { ...end, afterMs };
}

/** Converts evidence to its wire form at `nowMs` by the sender's clock. */
export function flattenEvidence(
  { fingerprint, ends, pardoned, changedAtMs }: CrashEvidence,
  nowMs: number,
): WireEvidence {
  return [
    fingerprint,
    ends.map(flattenEnd),
    pardoned,
    Math.round(Math.max(0, nowMs - changedAtMs)),
  ];
}

/** Parses evidence that arrived at `nowMs` by the receiver's clock. */
export function parseEvidence(
  [fingerprint, ends, pardoned, ageMs]: WireEvidence,
  nowMs: number,
): CrashEvidence {
  return {
    fingerprint,
    ends: ends.map(parseEnd),
    pardoned,
    changedAtMs: nowMs - ageMs,
  };
}
