/** A member of a service: a backend server and its node, as seen from here. */
import type { LoadFigures } from "../../mesh/common/frames.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import {
  computeFailureShare,
  createFailureShare,
  recordOutcome,
} from "./failure_share.ts";
import type { FailureShare } from "./failure_share.ts";

/** State of one member at this node. */
export interface Member {
  /** The latest announcement of the member. */
  announcement: Announcement;
  /** Calls of this node that the member has not answered. */
  outstanding: number;
  /** Calls that this node sent since it received `load`. */
  sentSinceLoad: number;
  /** Latest reported load; undefined before the first report. */
  load: LoadFigures | undefined;
  loadReceivedAtMs: number;
  /**
   * Pressure downstream of the member's routes that make calls, as the member
   * reported it; undefined before the first report.
   */
  downstream: readonly RoutePressure[] | undefined;
  /** Share of failures among the answers to this node. */
  failures: FailureShare;
  /** Failures since the last good answer. */
  consecutiveFailures: number;
  /** Until then the member is chosen only if no other is available. */
  ejectedUntilMs: number;
  /** Ejections since the last good answer. */
  ejectionCount: number;
  /** When a probe may next be sent to the member although it fails calls. */
  probeAtMs: number;
  /** Since when calls of this node have been in progress at the member. */
  busySinceMs: number;
}

/** Pressure downstream of one route, as a member reported it. */
export interface RoutePressure {
  readonly route: string;
  /** 0 to 1. */
  readonly pressure: number;
  /** When the gate under pressure reported it, by this node's clock. */
  readonly reportedAtMs: number;
  /** The service downstream with the least capacity for its demand. */
  readonly bottleneck: Bottleneck | undefined;
}

/** The service on a call path that has the least capacity for its demand. */
export interface Bottleneck {
  readonly service: string;
  /** Capacity over offered slot time; below 1 it is overloaded. */
  readonly ratio: number;
  /** Slot time there of one call on the path, in milliseconds. */
  readonly costMs: number;
  /** When its gates reported this, by this node's clock. */
  readonly reportedAtMs: number;
}

/** A member is ejected after this number of consecutive failures. */
const EJECT_AFTER_FAILURES = 3;
/**
 * Length of the first ejection; each further failure doubles it until a good
 * answer. Three consecutive failures are certain at a dead member, but also
 * soon occur at one that fails two calls in five and serves the rest.
 */
const FIRST_EJECTION_MS = 125;
const MAX_EJECTION_MS = 1_000;
/**
 * Part of the failures that counts on once a member is heard again after a
 * silence: too little to leave it out, and enough that one failure of a member
 * that is silent again and again does.
 */
const SILENT_FAILURE_RATIO = 0.15;

/**
 * Records a good answer or a failure of a member. Returns whether that ejects
 * the member.
 */
export function recordResult(
  member: Member,
  isFailure: boolean,
  nowMs: number,
): boolean {
  recordOutcome(member.failures, isFailure, nowMs);
  if (!isFailure) {
    member.consecutiveFailures = 0;
    member.ejectionCount = 0;
    return false;
  }
  member.consecutiveFailures += 1;
  const isEjected = member.ejectedUntilMs > nowMs;
  if (isEjected || member.consecutiveFailures < EJECT_AFTER_FAILURES) {
    return false;
  }
  const ejectionMs = FIRST_EJECTION_MS * 2 ** member.ejectionCount;
  member.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
  member.ejectionCount += 1;
  return true;
}

/**
 * Uses a member again that is heard after a silence: calls that were lost
 * meanwhile say little of those that it gets now.
 */
export function resumeMember(member: Member, nowMs: number): void {
  const share = computeFailureShare(member.failures, nowMs);
  member.failures = {
    share: share * SILENT_FAILURE_RATIO,
    sampledAtMs: nowMs,
  };
  member.consecutiveFailures = 0;
  member.ejectedUntilMs = 0;
  member.ejectionCount = 0;
}

/**
 * Applies an announcement. An existing member is updated in place, because
 * calls in progress refer to it; a new incarnation of its node resets all state
 * but `outstanding`.
 */
export function updateMember(
  before: Member | undefined,
  announcement: Announcement,
): Member {
  if (before === undefined) {
    return createMember(announcement);
  }
  const isSame = before.announcement.nodeId === announcement.nodeId &&
    before.announcement.incarnation === announcement.incarnation;
  if (!isSame) {
    const { outstanding } = before;
    Object.assign(before, createMember(announcement), { outstanding });
  }
  before.announcement = announcement;
  return before;
}

function createMember(announcement: Announcement): Member {
  return {
    announcement,
    outstanding: 0,
    sentSinceLoad: 0,
    load: undefined,
    loadReceivedAtMs: 0,
    downstream: undefined,
    failures: createFailureShare(),
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    ejectionCount: 0,
    probeAtMs: 0,
    busySinceMs: 0,
  };
}
