/**
 * Admission levels of backend servers, as an entry node received them. An entry
 * node is the node that a root request arrives at.
 */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { isBelowLevel } from "./admission_level.ts";
import type { AdmissionLevel, AdmissionPriority } from "./admission_level.ts";

/** A level reported by the node of a backend server. */
export interface CachedLevel {
  readonly level: AdmissionLevel;
  /** Steady clock in milliseconds. */
  readonly expiresAtMs: number;
}

/** Levels by node id and kind, in the order of their updates. */
export type LevelView = ReadonlyMap<string, CachedLevel>;

/** The level that an answer reported. */
export interface LevelReport {
  readonly nodeId: string;
  readonly kind: string;
  /** Undefined if the answer had no level. */
  readonly level: AdmissionLevel | undefined;
}

/** A kind of request and the members of its service. */
export interface ServiceKind {
  readonly kind: string;
  /** Node ids of the service's backend servers. */
  readonly members: readonly string[];
}

/** A root request at its entry node, before any work is done for it. */
export interface EarlyRequest extends AdmissionPriority, ServiceKind {
  /** Id whose hash selects the requests that are sent as probes. */
  readonly id: string;
}

/** Maximum number of levels retained; the oldest one is evicted first. */
export const MAX_LEVELS = 2_048;
/** A level that no answer renews expires after this time. */
export const LEVEL_TTL_MS = 1_000;
/**
 * One in this many requests is sent regardless of the level, so that an answer
 * reports a level that has fallen.
 */
const PROBE_INTERVAL = 50;

/** Records the level of an answer; an answer without a level removes it. */
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
  const retained = rest.size >= MAX_LEVELS && oldest !== undefined
    ? deleteEntry(rest, oldest)
    : rest;
  const expiresAtMs = nowMs + LEVEL_TTL_MS;
  return setEntry(retained, key, { level, expiresAtMs });
}

/**
 * Computes the level of a service for one kind: the highest one that at least
 * half of its backend servers have reached, so that a single straggler sheds
 * no requests.
 */
export function computeServiceLevel(
  view: LevelView,
  service: ServiceKind,
  nowMs: number,
): AdmissionLevel | undefined {
  const { members, kind } = service;
  const levels = members.flatMap((nodeId) => {
    const cached = view.get(createKey(nodeId, kind));
    return cached !== undefined && cached.expiresAtMs > nowMs
      ? [cached.level]
      : [];
  });
  const sorted = levels.toSorted((a, b) =>
    b.importance - a.importance || b.hash - a.hash
  );
  return sorted[Math.max(1, Math.ceil(members.length / 2)) - 1];
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
