/**
 * Evidence against requests: the ends of process instances of backend servers
 * that ran them. Evidence of several processes can be merged in any order, and
 * more than once, with the same result.
 */
import type { Fingerprint } from "./quarantine_reducer.ts";
import { hasCaller } from "./request_identity.ts";

/** The end of a process instance while it ran a request. */
export interface EvidencedEnd {
  /** Process instance that ended. */
  readonly instance: string;
  /**
   * Whether no other request can have caused it: it ran no other one, or no
   * other suspect, or all others are pardoned.
   */
  readonly wasAlone: boolean;
  /** Number of other requests that it ran. */
  readonly others: number;
  /**
   * Time from the hand-over of the request to the end, in milliseconds;
   * undefined if the end was seen late, or found by a former version.
   */
  readonly afterMs?: number | undefined;
}

/** What is known of one request. */
export interface CrashEvidence {
  readonly fingerprint: Fingerprint;
  /** Ends that it may have caused. */
  readonly ends: readonly EvidencedEnd[];
  /** Instances whose ends it can't have caused: a whole answer came later. */
  readonly pardoned: readonly string[];
  /** When the last of these became known, by the holder's clock, in ms. */
  readonly changedAtMs: number;
}

/** The evidence of one service, in the order of its changes. */
export type CrashRecord = ReadonlyMap<Fingerprint, CrashEvidence>;

/** The record without evidence. */
export const EMPTY_CRASH_RECORD: CrashRecord = new Map();

/**
 * Ends alone that prove the guilt of a request. A single one may be an end from
 * outside that coincided with a lone run of an innocent suspect.
 */
const PROVING_ENDS = 2;
/**
 * Ends that prove it with a single one alone: where two ends come before either
 * is known, the request runs beside others at both, and the first run alone is
 * the third.
 */
const PROVING_ENDS_BESIDE = 3;
/** Ends that are kept of one request. */
const MAX_ENDS = 12;
/** Pardoned instances that are kept of one request. */
const MAX_PARDONED = 24;
/** Most requests in the record of one service. */
export const MAX_RECORDED = 1_024;
/** A suspect that is not proved guilty is forgotten after this time. */
const SUSPECT_TTL_MS = 24 * 3_600_000;
/**
 * Time for which pardons are kept, so that an end which is reported late isn't
 * held against the request again.
 */
const PARDON_TTL_MS = 60_000;

/** Whether the ends prove that the request causes them. */
export function isProved(evidence: CrashEvidence): boolean {
  const alone = countEndsAlone(evidence);
  return alone >= PROVING_ENDS ||
    alone > 0 && evidence.ends.length >= PROVING_ENDS_BESIDE;
}

/** Counts the ends of instances at which the request ran alone. */
export function countEndsAlone({ ends }: CrashEvidence): number {
  return ends.filter(({ wasAlone }) => wasAlone).length;
}

/** Creates the evidence of one end. */
export function createEndEvidence(
  fingerprint: Fingerprint,
  end: EvidencedEnd,
  nowMs: number,
): CrashEvidence {
  return { fingerprint, ends: [end], pardoned: [], changedAtMs: nowMs };
}

/**
 * Lists the evidence that follows by elimination: of the requests that ran at
 * the end of an instance, all but one are pardoned.
 */
export function listEliminated(
  record: CrashRecord,
  instance: string,
): readonly CrashEvidence[] {
  const pardoned = [...record.values()].filter((evidence) =>
    !hasCaller(evidence.fingerprint) && evidence.pardoned.includes(instance)
  );
  const remaining = [...record.values()].flatMap((evidence) => {
    const end = evidence.ends.find((other) => other.instance === instance);
    return end === undefined ? [] : [{ evidence, end }];
  });
  const requests = remaining.filter(({ evidence }) =>
    !hasCaller(evidence.fingerprint)
  );
  const isOnlyOne = requests.length === 1 &&
    pardoned.length >= requests[0]!.end.others;
  return isOnlyOne
    ? remaining.filter(({ end }) => !end.wasAlone)
      .map(({ evidence, end }) => ({
        ...evidence,
        ends: [{ ...end, wasAlone: true }],
        pardoned: [],
      }))
    : [];
}

/** Creates the evidence that a request caused none of its known ends. */
export function createPardon(
  { fingerprint, ends }: CrashEvidence,
  nowMs: number,
): CrashEvidence {
  const pardoned = ends.map(({ instance }) => instance);
  return { fingerprint, ends: [], pardoned, changedAtMs: nowMs };
}

/** Adds evidence; returns the same record if all of it is known. */
export function applyEvidence(
  record: CrashRecord,
  received: readonly CrashEvidence[],
  nowMs: number,
): CrashRecord {
  const next = new Map(record);
  let isChanged = false;
  for (const evidence of received) {
    const { fingerprint } = evidence;
    const before = next.get(fingerprint);
    const merged = mergeEvidence(before, evidence);
    if (merged !== before) {
      next.delete(fingerprint);
      next.set(fingerprint, merged);
      isChanged = true;
    }
  }
  return isChanged ? pruneRecord(next, nowMs) : record;
}

/** Removes what has expired; returns the same record if nothing has. */
export function pruneRecord(record: CrashRecord, nowMs: number): CrashRecord {
  const kept = [...record].filter(([, evidence]) =>
    !isExpired(evidence, nowMs)
  );
  if (kept.length > MAX_RECORDED) {
    return new Map(selectRetained(kept));
  }
  return kept.length === record.size ? record : new Map(kept);
}

/**
 * Whether a record holds all that the evidence says, but for the times of its
 * ends: processes of a former version don't keep these.
 */
export function isKnown(record: CrashRecord, evidence: CrashEvidence): boolean {
  const before = record.get(evidence.fingerprint);
  const ends = evidence.ends.map((end) => ({ ...end, afterMs: undefined }));
  return before !== undefined &&
    mergeEvidence(before, { ...evidence, ends }) === before;
}

/** Merges evidence of one request; returns `before` if it says nothing new. */
export function mergeEvidence(
  before: CrashEvidence | undefined,
  received: CrashEvidence,
): CrashEvidence {
  const known = before ?? { ...received, ends: [], pardoned: [] };
  const pardons = received.pardoned
    .filter((instance) => !known.pardoned.includes(instance));
  const pardoned = [...known.pardoned, ...pardons];
  const ends = mergeEnds(known.ends, received.ends)
    .filter(({ instance }) => !pardoned.includes(instance));
  if (
    before !== undefined && pardons.length === 0 &&
    isSameEnds(before.ends, ends)
  ) {
    return before;
  }
  const changedAtMs = Math.max(known.changedAtMs, received.changedAtMs);
  return limitEvidence({ ...known, ends, pardoned, changedAtMs });
}

function mergeEnds(
  before: readonly EvidencedEnd[],
  received: readonly EvidencedEnd[],
): readonly EvidencedEnd[] {
  const byInstance = new Map(before.map((end) => [end.instance, end]));
  for (const end of received) {
    const known = byInstance.get(end.instance);
    byInstance.set(
      end.instance,
      known === undefined ? end : mergeEnd(known, end),
    );
  }
  return [...byInstance.values()];
}

/**
 * Merges what is known of one end; returns `before` if nothing is new. Of the
 * runs of several copies the longest counts.
 */
function mergeEnd(before: EvidencedEnd, received: EvidencedEnd): EvidencedEnd {
  const wasAlone = before.wasAlone || received.wasAlone;
  const afterMs = computeLongest(before.afterMs, received.afterMs);
  return wasAlone === before.wasAlone && afterMs === before.afterMs ? before : {
    ...(before.wasAlone || !received.wasAlone ? before : received),
    afterMs,
  };
}

function computeLongest(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined || b === undefined ? a ?? b : Math.max(a, b);
}

function isSameEnds(
  a: readonly EvidencedEnd[],
  b: readonly EvidencedEnd[],
): boolean {
  return a.length === b.length && a.every((end, index) => end === b[index]);
}

/** Drops what is over the limits: first ends that prove least. */
function limitEvidence(evidence: CrashEvidence): CrashEvidence {
  const { ends, pardoned } = evidence;
  if (ends.length <= MAX_ENDS && pardoned.length <= MAX_PARDONED) {
    return evidence;
  }
  const ranked = [
    ...ends.filter(({ wasAlone }) => wasAlone),
    ...ends.filter(({ wasAlone }) => !wasAlone),
  ];
  return {
    ...evidence,
    ends: ranked.slice(0, MAX_ENDS),
    pardoned: pardoned.slice(-MAX_PARDONED),
  };
}

function isExpired(evidence: CrashEvidence, nowMs: number): boolean {
  const ageMs = nowMs - evidence.changedAtMs;
  if (evidence.ends.length === 0) {
    return ageMs > PARDON_TTL_MS;
  }
  return !isProved(evidence) && ageMs > SUSPECT_TTL_MS;
}

/** Selects what stays of a full record: the most ends alone, then the newest. */
function selectRetained(
  entries: readonly (readonly [Fingerprint, CrashEvidence])[],
): readonly (readonly [Fingerprint, CrashEvidence])[] {
  const ranked = entries
    .map(([fingerprint, evidence], index) => ({
      fingerprint,
      index,
      weight: evidence.ends.length === 0 ? -1 : countEndsAlone(evidence),
    }))
    .sort((a, b) => b.weight - a.weight || b.index - a.index);
  const retained = new Set(
    ranked.slice(0, MAX_RECORDED).map(({ fingerprint }) => fingerprint),
  );
  return entries.filter(([fingerprint]) => retained.has(fingerprint));
}
