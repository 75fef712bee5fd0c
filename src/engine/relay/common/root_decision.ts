/**
 * Decides on the root requests of one entry node: by the plan for the bottleneck
 * on their call path where gates measure their capacity, otherwise by the
 * pressure on it.
 */
import type { EntryRequest } from "./entry_types.ts";
import type { Bottleneck } from "./member.ts";
import type { MemberTable } from "./member_table.ts";
import { AdmittedShare, isRootRefused } from "./root_admission.ts";
import { RootDraws } from "./root_draws.ts";
import { RootPlan } from "./root_plan.ts";

/** Decision on a root request. */
export type RootDecision =
  | { readonly type: "Admit" }
  | {
    readonly type: "Refuse";
    readonly reason: "capacity" | "pressure";
    /** What led to it, for the log. */
    readonly inputs: Readonly<Record<string, unknown>>;
  };

/** What the decisions depend on. */
export interface RootDecisionsOptions {
  readonly members: Pick<
    MemberTable,
    "findBottleneck" | "computePathPressure" | "describePressure"
  >;
  /** Returns the least urgent rank of the routes in force. */
  readonly getLastRank: () => number;
  /** Returns random numbers from 0 to 1. */
  readonly draw: () => number;
}

const ADMIT: RootDecision = { type: "Admit" };

/** Decides on each root request, and keeps what earlier ones asked for. */
export class RootDecisions {
  readonly #options: RootDecisionsOptions;
  readonly #admittedShare = new AdmittedShare();
  readonly #plan = new RootPlan();
  readonly #draws: RootDraws;

  constructor(options: RootDecisionsOptions) {
    this.#options = options;
    this.#draws = new RootDraws(options.draw);
  }

  /** Decides whether a root request for a service is admitted. */
  decide(request: EntryRequest, service: string): RootDecision {
    const { route, arrivedAtMs } = request;
    const bottleneck = this.#options.members
      .findBottleneck(service, route.name, arrivedAtMs);
    return bottleneck === undefined
      ? this.#decideByPressure(request, service)
      : this.#decideByPlan(request, bottleneck);
  }

  /** Refuses a root request beyond the planned share of its kind. */
  #decideByPlan(request: EntryRequest, bottleneck: Bottleneck): RootDecision {
    const { route, rank, arrivedAtMs } = request;
    const { service, ratio, costMs } = bottleneck;
    const kind = { route: route.name, rank, routeRank: route.rank };
    const share = this.#plan.computeShare(
      { service, ratio, costMs, ...kind },
      arrivedAtMs,
    );
    return share >= 1 || this.#drawFor(request) < share ? ADMIT : {
      type: "Refuse",
      reason: "capacity",
      inputs: { bottleneck: service, ratio, costMs, share },
    };
  }

  /** Refuses a root request by the band of its rank in the path's pressure. */
  #decideByPressure(request: EntryRequest, service: string): RootDecision {
    const { members, getLastRank } = this.#options;
    const { route, rank, arrivedAtMs } = request;
    const { pressure } = members
      .computePathPressure(service, route.name, arrivedAtMs);
    if (pressure === 0) {
      this.#admittedShare.record(true, arrivedAtMs);
      return ADMIT;
    }
    const inputs = {
      lastRank: getLastRank(),
      pressure,
      admittedShare: this.#admittedShare.value,
    };
    const draw = this.#drawFor(request);
    const isRefused = isRootRefused({ rank, draw, ...inputs });
    this.#admittedShare.record(!isRefused, arrivedAtMs);
    return !isRefused ? ADMIT : {
      type: "Refuse",
      reason: "pressure",
      inputs: {
        ...inputs,
        ...members.describePressure(service, route.name, arrivedAtMs),
      },
    };
  }

  #drawFor({ route, target, body, arrivedAtMs }: EntryRequest): number {
    const content = { route: route.name, target, body };
    return this.#draws.drawFor(content, arrivedAtMs);
  }
}
