/**
 * Logs when this node begins and ends to hold members of a service to be
 * failing. Their slots aren't counted on meanwhile, so that root requests may be
 * refused beside idle ones.
 */
import type { Member } from "./member.ts";
import { getFailureShare, listReliable } from "./member_choice.ts";
import type { RelayLine } from "./relay_log.ts";

/** Follows which members of each service are held to be failing. */
export class ReliabilityLog {
  /** Failing members, with when they began to be held so. */
  readonly #failingSinceMs = new WeakMap<Member, number>();

  /** Creates a line for each member of a service whose standing has changed. */
  update(
    service: string,
    members: readonly Member[],
    nowMs: number,
  ): readonly RelayLine[] {
    const reliable = new Set(listReliable(members, nowMs));
    return members.flatMap((member) => {
      const sinceMs = this.#failingSinceMs.get(member);
      const isReliable = reliable.has(member);
      if (isReliable === (sinceMs === undefined)) {
        return [];
      }
      if (isReliable) {
        this.#failingSinceMs.delete(member);
      } else {
        this.#failingSinceMs.set(member, nowMs);
      }
      return [createLine({ service, member, isReliable, sinceMs, nowMs })];
    });
  }
}

function createLine(
  { service, member, isReliable, sinceMs, nowMs }: {
    readonly service: string;
    readonly member: Member;
    readonly isReliable: boolean;
    /** Since when it was held to be failing; undefined if it wasn't. */
    readonly sinceMs: number | undefined;
    readonly nowMs: number;
  },
): RelayLine {
  const { announcement, load, probeAtMs } = member;
  return {
    event: "MemberReliabilityChanged",
    isFailure: false,
    service,
    member: announcement.ingress,
    isReliable,
    failureShare: Math.round(getFailureShare(member, nowMs) * 100) / 100,
    isShareReported: load?.failureShare !== undefined,
    failingForMs: sinceMs && nowMs - sinceMs,
    nextProbeInMs: isReliable ? undefined : Math.max(0, probeAtMs - nowMs),
    inUse: load && load.running + load.queued,
    limit: load?.limit,
    pressure: load?.pressure,
  };
}
