/**
 * Logs where the calls of this node to a service went, for services whose
 * members report a slowdown: a member that got too much or too little work can be
 * told from the line, together with the figures that decided.
 */
import type { Member } from "./member.ts";
import { isMeasured } from "./placement.ts";
import type { RelayLine } from "./relay_log.ts";

/** Lines are this far apart for each service. */
const LOG_INTERVAL_MS = 5_000;

/** Placements of one service since the last line. */
interface ServicePlacements {
  startedAtMs: number;
  crossed: number;
  /** Calls to members without samples. */
  untried: number;
  readonly callsByMember: Map<Member, number>;
}

/** Aggregates the placements of one node by service. */
export class PlacementLog {
  readonly #dataCentre: string;
  readonly #services = new Map<string, ServicePlacements>();

  /** `dataCentre` is that of this node. */
  constructor(dataCentre: string) {
    this.#dataCentre = dataCentre;
  }

  /**
   * Records a placement. Returns a line if one is due; none for a service of
   * which no member was seen to report a slowdown.
   */
  record(
    service: string,
    member: Member,
    nowMs: number,
  ): RelayLine | undefined {
    const placements = this.#services.get(service);
    if (placements === undefined) {
      if (isMeasured(member)) {
        const created = createPlacements(nowMs);
        this.#services.set(service, created);
        this.#count(created, member);
      }
      return undefined;
    }
    this.#count(placements, member);
    if (nowMs - placements.startedAtMs < LOG_INTERVAL_MS) {
      return undefined;
    }
    this.#services.set(service, createPlacements(nowMs));
    return createLine(service, placements);
  }

  #count(placements: ServicePlacements, member: Member): void {
    const { callsByMember } = placements;
    callsByMember.set(member, (callsByMember.get(member) ?? 0) + 1);
    const isRemote = member.announcement.dataCentre !== this.#dataCentre;
    placements.crossed += isRemote ? 1 : 0;
    placements.untried += (member.load?.serviceMs ?? 0) === 0 ? 1 : 0;
  }
}

function createPlacements(nowMs: number): ServicePlacements {
  return {
    startedAtMs: nowMs,
    crossed: 0,
    untried: 0,
    callsByMember: new Map(),
  };
}

function createLine(
  service: string,
  { crossed, untried, callsByMember }: ServicePlacements,
): RelayLine {
  return {
    event: "CallsPlaced",
    isFailure: false,
    service,
    crossed,
    untried,
    members: [...callsByMember].map(([{ announcement, load }, calls]) => ({
      address: announcement.ingress,
      calls,
      inUse: load && load.running + load.queued,
      limit: load?.limit,
      serviceMs: load && Math.round(load.serviceMs),
      slowdown: load?.slowdown,
    })),
  };
}
