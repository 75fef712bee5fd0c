/**
 * Logs when this node begins and ends to hold members of a service to be
 * failing. Their slots aren't counted on meanwhile, so that root requests may be
 * refused beside idle ones.
 */
import type { Member } from "./member.ts";
import { getFailureShare, listReliable } from "./member_choice.ts";
import type { RelayLine } from "./relay_log.ts";

const NO_LINES: readonly RelayLine[] = [];

/** Follows which members of each service are held to be failing. */
export class ReliabilityLog {
  /** Failing members by service, with when they began to be held so. */
  readonly #services = new Map<string, ReadonlyMap<Member, number>>();

  /** Creates a line for each member of a service whose standing has changed. */
  update(
    service: string,
    members: readonly Member[],
    nowMs: number,
  ): readonly RelayLine[] {
    const before = this.#services.get(service);
    const reliable = listReliable(members, nowMs);
    if (before === undefined && reliable.length === members.length) {
      return NO_LINES;
    }
    const failing = new Map<Member, number>();
    const lines: RelayLine[] = [];
    for (const member of members) {
      const isReliable = reliable.includes(member);
      const sinceMs = before?.get(member);
      if (isReliable !== (sinceMs === undefined)) {
        lines.push(createLine({ service, member, isReliable, sinceMs, nowMs }));
      }
      if (!isReliable) {
        failing.set(member, sinceMs ?? nowMs);
      }
    }
    if (failing.size === 0) {
      this.#services.delete(service);
    } else {
      this.#services.set(service, failing);
    }
    return lines;
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
