/**
 * Chooses the member of a service that a call is sent to.
 *
 * Load pattern: a service near its capacity, with some members that are slow,
 * or that fail part of their calls although their health checks succeed.
 */
import { computeFailureShare } from "./failure_share.ts";
import type { Member } from "./member.ts";
import { choosePlacement, isMeasured } from "./placement.ts";

/** Inputs of a choice besides the members. */
export interface ChoiceOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  /** Addresses of the members that the call was sent to before. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** Random number from 0 to 1 that breaks ties. */
  readonly draw: number;
  /** Whether a failure of the call does little harm, so that it may probe. */
  readonly canProbe: boolean;
  /**
   * Returns whether the call would be sent elsewhere if it failed, so that it
   * may be a probe that has been due for long. None may by default.
   */
  readonly canProbeLate?: () => boolean;
  /** Whether a member with calls in progress has been silent for too long. */
  readonly isSilent: (member: Member) => boolean;
  /**
   * Returns how many requests a second a member's backend server takes from all
   * nodes together; undefined if it names no limit.
   */
  readonly getRateLimit: (member: Member) => number | undefined;
  /** Returns the number of nodes that may send calls to a member. */
  readonly countNodes: () => number;
}

/** A load that was received longer ago is ignored. */
export const LOAD_VALID_MS = 1_000;
/** Penalty of another data centre, as a share of a backend server's slots. */
const REMOTE_PENALTY = 0.15;
/** Upper bound of the random part of a score: less than one slot in fifty. */
const MAX_JITTER = 0.02;
/** Not an integer, so that one draw gives each member a different jitter. */
const JITTER_STRIDE = 7.31;
/** Share of failures from which a member may count as failing. */
const FAILING_SHARE = 0.2;
/**
 * A failing member fails more than this multiple of the lowest share of
 * failures. If all members fail alike, the cause is elsewhere, and none counts
 * as failing.
 */
const FAILING_RATIO = 2;
/**
 * Penalty of a failing member, in multiples of a member's slots: it gets calls
 * once the other members are full and as many calls again wait there. A call
 * that may fail costs less than one that is never run. When two of three
 * members lost 40 % of their answers and got no calls, 230 calls waited at the
 * third, which has 22 slots, while 20 slots were idle at each of the two.
 */
const FAILING_PENALTY = 2;
/** Each node probes a failing member at this interval. */
const PROBE_INTERVAL_MS = 500;
/**
 * A probe that is overdue by this much may be any call that would be sent
 * elsewhere if it failed: some services are called by backend servers alone.
 */
const LATE_PROBE_MS = 500;
/** Bounds of the slowness: a service time may stem from a few unusual runs. */
const MIN_SLOWNESS = 0.4;
const MAX_SLOWNESS = 3;
/**
 * Lowest score of a member whose backend server names a limit: it gets calls
 * once the slots of the others are in use.
 */
const MIN_LIMITED_SCORE = 1;
/** Share of a named limit that the probes of all nodes together use. */
const LIMITED_PROBE_SHARE = 0.5;
/** Limits below count as this one when the probe interval is computed. */
const MIN_PROBED_PER_SECOND = 0.5;
/** Penalty of a member whose limit is 0; higher than any other score. */
const CLOSED_PENALTY = 100;

/**
 * Chooses the member with the lowest score: the most free capacity for its
 * speed, preferably in the own data centre. Ejected and silent members are
 * chosen only if there is no other.
 */
export function chooseMember(
  members: readonly Member[],
  options: ChoiceOptions,
): Member | undefined {
  const eligible = members.filter((member) =>
    member.ejectedUntilMs <= options.nowMs && !options.isSilent(member)
  );
  const probed = findDueProbe(members, eligible, options);
  if (probed !== undefined) {
    probed.probeAtMs = options.nowMs + computeProbeIntervalMs(probed, options);
    return probed;
  }
  const candidates = eligible.length > 0 ? eligible : members;
  const failing = listFailing(candidates, options.nowMs);
  if (isPlacedByTime(candidates, options)) {
    return choosePlacement(candidates, {
      ...options,
      loadValidMs: LOAD_VALID_MS,
      getPenalty: (member) => computePenalty(member, failing, options.nowMs),
    });
  }
  const meanMs = computeMeanServiceMs(candidates, options.nowMs);
  let best: Member | undefined;
  let bestScore = Infinity;
  candidates.forEach((member, index) => {
    const jitter = ((index + 1) * options.draw * JITTER_STRIDE % 1) *
      MAX_JITTER;
    const score = computeScore(member, meanMs, options) + jitter +
      (failing.includes(member) ? FAILING_PENALTY : 0);
    if (score < bestScore) {
      best = member;
      bestScore = score;
    }
  });
  return best;
}

/**
 * Whether members are compared by expected time to finish: as soon as one reports
 * its capacity or its slowdown, unless one names a rate limit, which the time doesn't contain.
 */
function isPlacedByTime(
  members: readonly Member[],
  { getRateLimit }: ChoiceOptions,
): boolean {
  return members.some(isMeasured) &&
    members.every((member) => getRateLimit(member) === undefined);
}

/** Computes the penalty of a member that fails calls or takes none. */
function computePenalty(
  member: Member,
  failing: readonly Member[],
  nowMs: number,
): number {
  const { load } = member;
  return getFailureShare(member, nowMs) +
    (failing.includes(member) ? FAILING_PENALTY : 0) +
    (load?.limit === 0 ? CLOSED_PENALTY : 0);
}

/** Finds an eligible member that fails calls or is limited, and is due. */
function findDueProbe(
  members: readonly Member[],
  eligible: readonly Member[],
  options: ChoiceOptions,
): Member | undefined {
  const { nowMs, getRateLimit, canProbe, canProbeLate } = options;
  const delayMs = canProbe ? 0 : LATE_PROBE_MS;
  const failing = listFailing(members, nowMs);
  const due = eligible.find((member) =>
    member.probeAtMs + delayMs <= nowMs &&
    (failing.includes(member) ||
      canProbe && getRateLimit(member) !== undefined)
  );
  return canProbe || canProbeLate?.() === true ? due : undefined;
}

/**
 * Computes when to probe a member again. Without probes a limit that no longer
 * holds would be believed until the other members are full.
 */
function computeProbeIntervalMs(
  member: Member,
  { getRateLimit, countNodes }: ChoiceOptions,
): number {
  const requestsPerSecond = getRateLimit(member);
  if (requestsPerSecond === undefined) {
    return PROBE_INTERVAL_MS;
  }
  const probesPerSecond = LIMITED_PROBE_SHARE *
    Math.max(MIN_PROBED_PER_SECOND, requestsPerSecond) / countNodes();
  return Math.max(PROBE_INTERVAL_MS, 1_000 / probesPerSecond);
}

/**
 * Lists the members without the failing ones. Their capacity can't be counted
 * on: a root request that makes eight calls to a member that refuses half of
 * them would almost never succeed.
 */
export function listReliable(
  members: readonly Member[],
  nowMs: number,
): readonly Member[] {
  const failing = listFailing(members, nowMs);
  return failing.length === 0
    ? members
    : members.filter((member) => !failing.includes(member));
}

const NONE_FAILING: readonly Member[] = [];

/** Lists the members that fail far more of their calls than the best one. */
function listFailing(
  members: readonly Member[],
  nowMs: number,
): readonly Member[] {
  let least = 1;
  let most = 0;
  for (const member of members) {
    const share = getFailureShare(member, nowMs);
    least = Math.min(least, share);
    most = Math.max(most, share);
  }
  if (most < FAILING_SHARE) {
    return NONE_FAILING;
  }
  return members.filter((member) => {
    const share = getFailureShare(member, nowMs);
    return share >= FAILING_SHARE && share > least * FAILING_RATIO;
  });
}

/**
 * Returns the share of its calls that a member fails: as its own node counts it
 * over all callers, otherwise as far as this node's calls tell.
 */
export function getFailureShare(
  { load, loadReceivedAtMs, failures }: Member,
  nowMs: number,
): number {
  const reported = nowMs - loadReceivedAtMs < LOAD_VALID_MS
    ? load?.failureShare
    : undefined;
  return reported ?? computeFailureShare(failures, nowMs);
}

/**
 * Computes the share of the slots that would be in use, weighted by slowness,
 * plus penalties. Lower is better.
 */
function computeScore(
  member: Member,
  meanMs: number,
  options: ChoiceOptions,
): number {
  const { announcement, load, loadReceivedAtMs, outstanding, sentSinceLoad } =
    member;
  const isFresh = load !== undefined &&
    options.nowMs - loadReceivedAtMs < LOAD_VALID_MS;
  const isLimited = options.getRateLimit(member) !== undefined;
  const knownSlots = isLimited ? 1 : announcement.slots;
  const slots = Math.max(1, isFresh ? load.limit : knownSlots);
  const inUse = isFresh
    ? Math.max(outstanding, load.running + load.queued + sentSinceLoad)
    : outstanding;
  const distance = announcement.dataCentre === options.dataCentre
    ? 0
    : REMOTE_PENALTY;
  const slowness = isFresh ? computeSlowness(load.serviceMs, meanMs) : 1;
  const score = (inUse + 1) / slots * slowness + distance +
    getFailureShare(member, options.nowMs) +
    (isFresh && load.limit === 0 ? CLOSED_PENALTY : 0);
  return isLimited ? Math.max(MIN_LIMITED_SCORE, score) : score;
}

/** Computes the mean service time of the members with a fresh load. */
function computeMeanServiceMs(
  members: readonly Member[],
  nowMs: number,
): number {
  let sum = 0;
  let count = 0;
  for (const { load, loadReceivedAtMs } of members) {
    const isFresh = nowMs - loadReceivedAtMs < LOAD_VALID_MS;
    if (load !== undefined && load.serviceMs > 0 && isFresh) {
      sum += load.serviceMs;
      count += 1;
    }
  }
  return sum / Math.max(1, count);
}

/**
 * Computes how slow a member is compared with the mean. The backend servers of
 * a service may differ in speed by more than a factor of two; with equal shares
 * of their slots in use, calls would wait longest at the slowest one.
 */
function computeSlowness(serviceMs: number, meanMs: number): number {
  return serviceMs === 0 || meanMs === 0
    ? 1
    : Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, serviceMs / meanMs));
}
