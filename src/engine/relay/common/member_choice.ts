/**
 * Which of a service's members a call is sent to.
 *
 * Load pattern: a service near its capacity, of which some members are slow, or
 * fail part of their calls with good health.
 */
import type { Member } from "./member.ts";

/** How a choice is made. */
export interface ChoiceOptions {
  readonly dataCentre: string;
  /** Addresses that this call was at. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** From 0 to 1; breaks ties. */
  readonly draw: number;
  /** Whether it does little harm if the call fails. */
  readonly canProbe: boolean;
  /** Whether a member has been silent while calls are in progress there. */
  readonly isSilent: (member: Member) => boolean;
}

/** A load that is older than this says nothing. */
export const LOAD_VALID_MS = 1_000;
/** Worth of the own data centre, in parts of a backend server's places. */
const FAR_PENALTY = 0.15;
/** Most that chance adds: less than one place in fifty. */
const JITTER = 0.02;
/** Spreads one draw over members: any factor that is no whole number does. */
const JITTER_STRIDE = 7.31;
/** Share of failures from which on a member is left out. */
const FAILING_SHARE = 0.2;
/** Where all fail alike, the fault lies elsewhere and none is left out. */
const FAILING_RATIO = 2;
/**
 * Calls go to a failing member once those that don't fail are full and as much
 * waits there again, in parts of their places: a call that may fail costs less
 * than one that is never begun. Where two of three members lost 0.4 of their
 * answers, 230 calls waited at the third, which has 22 places, and 20 places
 * stood idle at each of the two.
 */
const FAILING_PENALTY = 2;
/** Each node tries a failing member again after so long. */
const PROBE_MS = 500;
/** Bounds of the weight: a service time may be of few and odd runs. */
const MIN_SLOWNESS = 0.4;
const MAX_SLOWNESS = 3;
/** Above any other score: nothing may run there. */
const CLOSED_PENALTY = 100;

/** Chooses the member with the most room for its share, nearest first. */
export function chooseMember(
  members: readonly Member[],
  options: ChoiceOptions,
): Member | undefined {
  const sound = members.filter((member) =>
    member.ejectedUntilMs <= options.nowMs && !options.isSilent(member)
  );
  const due = options.canProbe
    ? listFailing(members).find((member) =>
      member.probeAtMs <= options.nowMs && sound.includes(member)
    )
    : undefined;
  if (due !== undefined) {
    due.probeAtMs = options.nowMs + PROBE_MS;
    return due;
  }
  const pool = sound.length > 0 ? sound : members;
  const failing = listFailing(pool);
  const meanMs = computeMeanServiceMs(pool, options.nowMs);
  let best: Member | undefined;
  let bestScore = Infinity;
  pool.forEach((member, at) => {
    const jitter = ((at + 1) * options.draw * JITTER_STRIDE % 1) * JITTER;
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
 * Lists the members that calls may count on: a root that makes eight calls to
 * one that fails part of them, each refused with a chance of a half, would
 * hardly ever end well.
 */
export function listReliable(members: readonly Member[]): readonly Member[] {
  const failing = listFailing(members);
  return failing.length === 0
    ? members
    : members.filter((member) => !failing.includes(member));
}

const NONE_FAILING: readonly Member[] = [];

/** Lists the members that fail far more of their calls than the best one. */
function listFailing(members: readonly Member[]): readonly Member[] {
  let least = 1;
  let most = 0;
  for (const { failureShare } of members) {
    least = Math.min(least, failureShare);
    most = Math.max(most, failureShare);
  }
  if (most < FAILING_SHARE) {
    return NONE_FAILING;
  }
  return members.filter(({ failureShare }) =>
    failureShare >= FAILING_SHARE && failureShare > least * FAILING_RATIO
  );
}

/** Share of the places that would be taken, weighed by how slow it is. */
function computeScore(
  member: Member,
  meanMs: number,
  options: ChoiceOptions,
): number {
  const { announcement, load, loadReceivedAtMs, outstanding, sentSinceLoad } =
    member;
  const isFresh = load !== undefined &&
    options.nowMs - loadReceivedAtMs < LOAD_VALID_MS;
  const places = Math.max(1, isFresh ? load.limit : announcement.slots);
  const inUse = isFresh
    ? Math.max(outstanding, load.running + load.queued + sentSinceLoad)
    : outstanding;
  const distance = announcement.dataCentre === options.dataCentre
    ? 0
    : FAR_PENALTY;
  const slowness = isFresh ? computeSlowness(load.serviceMs, meanMs) : 1;
  return (inUse + 1) / places * slowness + distance + member.failureShare +
    (isFresh && load.limit === 0 ? CLOSED_PENALTY : 0);
}

function computeMeanServiceMs(
  members: readonly Member[],
  nowMs: number,
): number {
  let sum = 0;
  let known = 0;
  for (const { load, loadReceivedAtMs } of members) {
    const isFresh = nowMs - loadReceivedAtMs < LOAD_VALID_MS;
    if (load !== undefined && load.serviceMs > 0 && isFresh) {
      sum += load.serviceMs;
      known += 1;
    }
  }
  return sum / Math.max(1, known);
}

/**
 * Backend servers of one service differ in speed by more than two; with equal
 * shares of their places taken, calls wait longest at the slowest.
 */
function computeSlowness(serviceMs: number, meanMs: number): number {
  return serviceMs === 0 || meanMs === 0
    ? 1
    : Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, serviceMs / meanMs));
}
