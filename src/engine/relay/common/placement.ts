/**
 * Chooses a member by the expected times to finish, for services whose backend
 * servers report how much their machines are slowed down.
 *
 * Load pattern: up to 75 nodes place calls on three or four backend servers of
 * different speeds, by reports that are up to 100 ms old.
 */
import type { Member } from "./member.ts";
import { computeCostMs } from "./finish_time.ts";
import type { ComputeCostMs, FinishInputs } from "./finish_time.ts";

/** Inputs of a placement besides the members. */
export interface PlacementOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  readonly nowMs: number;
  /** Random number from 0 to 1. */
  readonly draw: number;
  /** A load that was received longer ago tells the usual speed only. */
  readonly loadValidMs: number;
  /** Returns a penalty in multiples of the mean service time. */
  readonly getPenalty: (member: Member) => number;
}

/** A member with what its expected time to finish was computed from. */
export interface PlacedMember {
  readonly member: Member;
  readonly isLocal: boolean;
  /** Usual service time of the member. */
  readonly serviceMs: number;
  /** Calls that it can end in a millisecond at this moment. */
  readonly capacity: number;
  /** Expected time to finish and delay of other calls, with penalties. */
  readonly costMs: number;
}

/** Selects the members that a call may be sent to; at least one. */
export type SelectReach = (
  members: readonly PlacedMember[],
  meanMs: number,
) => readonly PlacedMember[];

/** Chooses one of at least one member; `draw` is a random number from 0 to 1. */
export type PickMember = (
  members: readonly PlacedMember[],
  draw: number,
) => PlacedMember;

/** The parts of a placement that were compared with others. */
export interface PlacementRules {
  readonly computeCostMs: ComputeCostMs;
  readonly selectReach: SelectReach;
  readonly pickMember: PickMember;
}

/** Assumed service time while no member has a sample. */
const DEFAULT_SERVICE_MS = 20;
/** Added latency of a call to another data centre, at most. */
const CROSSING_MS = 1.4;
/**
 * A call stays in its data centre while it costs no more than the usual service
 * time there plus this share of the mean one: a wait is then unlikely. At 0.25, 3
 * of 20 simulated plays had 0.1% of waits over 60 ms; at 0.05, none over 0.02%.
 */
const STAY_MARGIN = 0.05;
/**
 * Cost of crossing, in multiples of the mean service time: the bandwidth is only
 * worth a wait. Without it, all calls move to the other data centre at once, and
 * back.
 */
const CROSSING_COST = 1;
/** A new backend server is slower by this factor for its first 3 s. */
const NEW_MEMBER_SLOWNESS = 2;
/**
 * Share of its part of the calls that a member without samples gets: it takes
 * twice as long, and its load isn't known yet.
 */
const NEW_MEMBER_SHARE = 0.25;
/**
 * Exponent of the share of a member, per multiple of the lowest cost by which its
 * own is higher. The highest values let calls gather at one member.
 */
const COST_SENSITIVITY = 2;

/** Whether a member reports its capacity or the slowdown of its machine. */
export function isMeasured({ load }: Member): boolean {
  return load?.spare !== undefined || load?.slowdown !== undefined;
}

/** Chooses one of at least one member. */
export function choosePlacement(
  members: readonly Member[],
  options: PlacementOptions,
  rules: PlacementRules = PLACEMENT_RULES,
): Member {
  const { newcomer, draw } = drawNewMember(members, options);
  if (newcomer !== undefined) {
    return newcomer;
  }
  const means = computeMeans(members, options);
  const placed = members.map((member) => {
    const inputs = estimateInputs(member, means, options);
    const penaltyMs = options.getPenalty(member) * means.serviceMs;
    const isLocal = member.announcement.dataCentre === options.dataCentre;
    const costMs = rules.computeCostMs(inputs) + penaltyMs +
      (isLocal ? 0 : CROSSING_MS);
    const { slots, serviceMs, slowdown } = inputs;
    const capacity = slots / (serviceMs * slowdown);
    return { member, isLocal, serviceMs, capacity, costMs };
  });
  const reach = rules.selectReach(placed, means.serviceMs);
  return rules.pickMember(reach, draw).member;
}

/** Whether the service time of a member isn't known. */
function isUnsampled({ load }: Member): boolean {
  return load === undefined || load.serviceMs === 0;
}

/**
 * Draws a member without samples for a small part of the calls. By their
 * expected times alone, either all nodes would send it all their calls until its
 * first report, or none would send one while the others have free slots.
 */
function drawNewMember(
  members: readonly Member[],
  { draw, getPenalty }: PlacementOptions,
): { readonly newcomer: Member | undefined; readonly draw: number } {
  const newcomers = members.filter((member) =>
    isUnsampled(member) && getPenalty(member) === 0
  );
  if (newcomers.length === 0) {
    return { newcomer: undefined, draw };
  }
  const slots = members.reduce((sum, other) => sum + getSlots(other), 0);
  let bound = 0;
  const newcomer = newcomers.find((member) => {
    bound += NEW_MEMBER_SHARE * getSlots(member) / slots;
    return draw < bound;
  });
  // The rest of the draws is spread over 0 to 1 again for the other members.
  return { newcomer, draw: (draw - bound) / (1 - bound) };
}

/** Gets the slots that increase the throughput, by the last report. */
function getSlots({ load, announcement }: Member): number {
  return Math.max(1, load?.limit ?? announcement.slots);
}

interface Means {
  readonly serviceMs: number;
  /** Calls in use per slot. */
  readonly utilization: number;
}

/** Computes the means over the members whose figures are known. */
function computeMeans(
  members: readonly Member[],
  options: PlacementOptions,
): Means {
  let serviceMs = 0;
  let sampled = 0;
  let inUse = 0;
  let slots = 0;
  for (const member of members) {
    if (!isUnsampled(member)) {
      serviceMs += member.load!.serviceMs;
      sampled += 1;
    }
    if (isFresh(member, options)) {
      inUse += countInUse(member);
      slots += getSlots(member);
    }
  }
  return {
    serviceMs: sampled === 0 ? DEFAULT_SERVICE_MS : serviceMs / sampled,
    utilization: inUse / Math.max(1, slots),
  };
}

function isFresh(
  { load, loadReceivedAtMs }: Member,
  { nowMs, loadValidMs }: PlacementOptions,
): boolean {
  return load !== undefined && nowMs - loadReceivedAtMs < loadValidMs;
}

/** Counts the calls that run or wait at a member, as far as this node knows. */
function countInUse({ load, outstanding, sentSinceLoad }: Member): number {
  const reported = load === undefined ? 0 : load.running + load.queued;
  return Math.max(outstanding, reported + sentSinceLoad);
}

/**
 * Estimates the inputs of the expected time. A member without a fresh load is
 * taken to be as busy as the others, and as fast as it usually is.
 */
function estimateInputs(
  member: Member,
  means: Means,
  options: PlacementOptions,
): FinishInputs {
  const { load, outstanding } = member;
  const slots = getSlots(member);
  const serviceMs = isUnsampled(member)
    ? means.serviceMs * NEW_MEMBER_SLOWNESS
    : load!.serviceMs;
  return isFresh(member, options)
    ? {
      slots,
      serviceMs,
      inUse: countInUse(member),
      slowdown: load?.slowdown ?? 1,
    }
    : {
      slots,
      serviceMs,
      inUse: Math.max(outstanding, means.utilization * slots),
      slowdown: 1,
    };
}

/**
 * Selects the members in the own data centre, unless even the best of them would
 * cost more than its usual service time by more than a margin, or more than the
 * best of all with the cost of crossing: a slow backend server without a wait
 * takes long for calls made one after the other. Then the others are selected
 * too, at a higher cost.
 */
export function selectWithinMargin(
  members: readonly PlacedMember[],
  meanMs: number,
): readonly PlacedMember[] {
  const local = members.filter(({ isLocal }) => isLocal);
  const leastMs = Math.min(...members.map(({ costMs }) => costMs));
  const isBestHere = local.some(({ costMs, serviceMs }) =>
    costMs - serviceMs <= STAY_MARGIN * meanMs &&
    costMs - leastMs <= CROSSING_COST * meanMs
  );
  return isBestHere ? local : members.map((placed) => {
    const crossingMs = placed.isLocal ? 0 : CROSSING_COST * meanMs;
    return { ...placed, costMs: placed.costMs + crossingMs };
  });
}

/**
 * Draws a member, with weights that rise with its capacity and fall with its
 * cost. If all nodes chose the lowest cost, calls would gather at the backend
 * server whose report was the best one 100 ms ago.
 */
export function drawByCost(
  members: readonly PlacedMember[],
  draw: number,
): PlacedMember {
  const leastMs = Math.min(...members.map(({ costMs }) => costMs));
  const weights = members.map(({ costMs, capacity }) =>
    capacity * Math.exp(-COST_SENSITIVITY * (costMs / leastMs - 1))
  );
  let left = draw * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return members.at(index)!;
}

/** The rules in use. */
export const PLACEMENT_RULES: PlacementRules = {
  computeCostMs,
  selectReach: selectWithinMargin,
  pickMember: drawByCost,
};
