/** Which of a service's members a call is sent to. */
import type { Member } from "./member.ts";

/** How a choice is made. */
export interface ChoiceOptions {
  readonly dataCentre: string;
  /** Addresses that this call was at. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** From 0 to 1; breaks ties. */
  readonly draw: number;
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
  const pool = sound.length > 0 ? sound : members;
  let best: Member | undefined;
  let bestScore = Infinity;
  pool.forEach((member, at) => {
    const jitter = ((at + 1) * options.draw * JITTER_STRIDE % 1) * JITTER;
    const score = computeScore(member, options) + jitter;
    if (score < bestScore) {
      best = member;
      bestScore = score;
    }
  });
  return best;
}

/** Share of the places that would be taken, with the call counted. */
function computeScore(member: Member, options: ChoiceOptions): number {
  const { announcement, load, loadAtMs, outstanding, sentSinceLoad } = member;
  const isFresh = load !== undefined &&
    options.nowMs - loadAtMs < LOAD_VALID_MS;
  const places = Math.max(1, isFresh ? load.limit : announcement.slots);
  const inUse = isFresh
    ? Math.max(outstanding, load.running + load.queued + sentSinceLoad)
    : outstanding;
  const distance = announcement.dataCentre === options.dataCentre
    ? 0
    : FAR_PENALTY;
  return (inUse + 1) / places + distance + member.failureShare +
    (isFresh && load.limit === 0 ? CLOSED_PENALTY : 0);
}
