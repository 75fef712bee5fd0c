/** What an entry node knows of the admission levels of backend servers. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { isBelowLevel } from "./admission_level.ts";
import type { AdmissionLevel, AdmissionPriority } from "./admission_level.ts";

/** A level that a backend server's node said. */
export interface CachedLevel {
  readonly level: AdmissionLevel;
  readonly expiresAtMs: number;
}

/** Levels by node id and kind, the latest one last. */
export type LevelView = ReadonlyMap<string, CachedLevel>;

/** A level as it stood on an answer; undefined: the answer named none. */
export interface LevelReport {
  readonly nodeId: string;
  readonly kind: string;
  readonly level: AdmissionLevel | undefined;
}

/** One kind of a service. */
export interface ServiceKind {
  readonly kind: string;
  /** Node ids of the service's backend servers. */
  readonly members: readonly string[];
}

/** A request that has cost nothing yet. */
export interface EarlyRequest extends AdmissionPriority, ServiceKind {
  /** Draws the probes. */
  readonly id: string;
}

/** Levels that are kept. */
export const MAX_LEVELS = 2_048;
/** A level that no answer renews is forgotten after this time. */
export const LEVEL_TTL_MS = 1_000;
/** One in so many goes through, so that a fallen level is learned. */
const PROBE_INTERVAL = 50;

/** Keeps the level of an answer; one without a level clears it. */
export function recordLevel(
  view: LevelView,
  report: LevelReport,
  nowMs: number,
): LevelView {
  const { nodeId, kind, level } = report;
  const key = createKey(nodeId, kind);
  const rest = deleteEntry(view, key);
  if (level === undefined) {
    return rest;
  }
  const oldest = rest.keys().next().value;
  const kept = rest.size >= MAX_LEVELS && oldest !== undefined
    ? deleteEntry(rest, oldest)
    : rest;
  const expiresAtMs = nowMs + LEVEL_TTL_MS;
  return setEntry(kept, key, { level, expiresAtMs });
}

/**
 * Reads the level of a service for one kind: the highest one that at least
 * half of its backend servers are at, so that a straggler alone sheds nothing.
 */
export function computeServiceLevel(
  view: LevelView,
  service: ServiceKind,
  nowMs: number,
): AdmissionLevel | undefined {
  const { members, kind } = service;
  const levels = members.flatMap((nodeId) => {
    const seen = view.get(createKey(nodeId, kind));
    return seen !== undefined && seen.expiresAtMs > nowMs ? [seen.level] : [];
  });
  const ordered = levels.toSorted((a, b) =>
    b.importance - a.importance || b.hash - a.hash
  );
  return ordered[Math.max(1, Math.ceil(members.length / 2)) - 1];
}

/** Whether at least half of the service's backend servers would refuse it. */
export function isRefusedEarly(
  view: LevelView,
  request: EarlyRequest,
  nowMs: number,
): boolean {
  if (view.size === 0 || hashText(request.id, 3) % PROBE_INTERVAL === 0) {
    return false;
  }
  const level = computeServiceLevel(view, request, nowMs);
  return level !== undefined && isBelowLevel(request, level);
}

function createKey(nodeId: string, kind: string): string {
  return `${nodeId} ${kind}`;
}
