/** What an entry node knows of the admission levels of backend servers. */
import { hashText } from "../../../base/common/hash.ts";
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { isBelowLevel } from "./admission_level.ts";
import type { AdmissionLevel, Ranked } from "./admission_level.ts";

/** A level that a backend server's node said. */
export interface SeenLevel {
  readonly level: AdmissionLevel;
  readonly expiresAtMs: number;
}

/** Levels by node id, the latest one last. */
export type LevelView = ReadonlyMap<string, SeenLevel>;

/** A level as it stood on an answer; undefined: the answer named none. */
export interface LevelReport {
  readonly nodeId: string;
  readonly level: AdmissionLevel | undefined;
}

/** A request that has cost nothing yet. */
export interface EarlyRequest extends Ranked {
  /** Draws the probes. */
  readonly id: string;
  /** Node ids of the service's backend servers. */
  readonly members: readonly string[];
}

/** Levels that are kept. */
export const MAX_LEVELS = 1_024;
/** A level that no answer renews is forgotten after this time. */
export const LEVEL_TTL_MS = 1_000;
/** One in so many goes through, so that a fallen level is learned. */
const PROBE_ONE_IN = 50;

/** Keeps the level of an answer; one without a level clears it. */
export function noteLevel(
  view: LevelView,
  report: LevelReport,
  nowMs: number,
): LevelView {
  const { nodeId, level } = report;
  const rest = deleteEntry(view, nodeId);
  if (level === undefined) {
    return rest;
  }
  const oldest = rest.keys().next().value;
  const kept = rest.size >= MAX_LEVELS && oldest !== undefined
    ? deleteEntry(rest, oldest)
    : rest;
  const expiresAtMs = nowMs + LEVEL_TTL_MS;
  return setEntry(kept, nodeId, { level, expiresAtMs });
}

/** Whether at least half of the service's backend servers would refuse it. */
export function isRefusedEarly(
  view: LevelView,
  request: EarlyRequest,
  nowMs: number,
): boolean {
  if (view.size === 0 || hashText(request.id, 3) % PROBE_ONE_IN === 0) {
    return false;
  }
  const refusing = request.members.filter((nodeId) => {
    const seen = view.get(nodeId);
    return seen !== undefined && seen.expiresAtMs > nowMs &&
      isBelowLevel(request, seen.level);
  });
  return refusing.length > 0 && refusing.length * 2 >= request.members.length;
}
