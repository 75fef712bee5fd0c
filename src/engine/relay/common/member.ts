/** One backend server as this node sees it, and what its answers say of it. */
import type { LoadFigures } from "../../mesh/common/frames.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** One backend server as this node sees it. */
export interface Member {
  announcement: Announcement;
  /** Calls of this node that it has not answered. */
  outstanding: number;
  /** Calls of this node that were sent since the load was heard. */
  sentSinceLoad: number;
  load: LoadFigures | undefined;
  loadReceivedAtMs: number;
  /**
   * Pressure below the routes that make calls there, as it says; undefined
   * before it has said anything.
   */
  downstream: readonly DownstreamPressure[] | undefined;
  /** Smoothed share of failures among the answers. */
  failureShare: number;
  /** Answers in a row that were failures. */
  consecutiveFailures: number;
  /** Until when it is chosen only where no other is left. */
  ejectedUntilMs: number;
  /** Times that it was left out since its last good answer. */
  ejectionCount: number;
  /** When it is next tried though it fails part of its calls. */
  probeAtMs: number;
  /** Since when calls of this node have been in progress there. */
  busySinceMs: number;
}

/** Pressure below a route, as a member said it. */
export interface DownstreamPressure {
  readonly route: string;
  readonly pressure: number;
  /** When the gate under pressure said so, by the own clock. */
  readonly reportedAtMs: number;
}

/** Answers after which a failing member is left out for a while. */
const EJECT_AFTER = 3;
/**
 * Left out for so long at first, and twice as long with each further failure
 * until a good answer: three failures in a row are the end of a dead member,
 * and soon come from one that fails two calls in five and does the rest.
 */
const FIRST_EJECT_MS = 125;
const MAX_EJECT_MS = 1_000;
/** Weight of a new answer in the share of failures. */
const FAILURE_GAIN = 0.05;

/**
 * Notes what an answer, or its absence, says of a member; tells whether it is
 * left out from now on.
 */
export function recordResult(
  member: Member,
  isFailure: boolean,
  nowMs: number,
): boolean {
  member.failureShare += (Number(isFailure) - member.failureShare) *
    FAILURE_GAIN;
  if (!isFailure) {
    member.consecutiveFailures = 0;
    member.ejectionCount = 0;
    return false;
  }
  member.consecutiveFailures += 1;
  const isOut = member.ejectedUntilMs > nowMs;
  if (isOut || member.consecutiveFailures < EJECT_AFTER) {
    return false;
  }
  const ejectMs = FIRST_EJECT_MS * 2 ** member.ejectionCount;
  member.ejectedUntilMs = nowMs + Math.min(MAX_EJECT_MS, ejectMs);
  member.ejectionCount += 1;
  return true;
}

/** Calls in progress hold on to the member, so that it is kept. */
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
    failureShare: 0,
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    ejectionCount: 0,
    probeAtMs: 0,
    busySinceMs: 0,
  };
}
