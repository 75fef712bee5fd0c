/**
 * Computes how long one more call would take at a backend server.
 *
 * Load pattern: a service of a few backend servers near its capacity. They
 * differ in speed by a factor of up to three, and a shared machine makes one of
 * them slower by a factor of 2.5 for 600 ms at a time.
 */

/** What the expected time to finish depends on. */
export interface FinishInputs {
  /** Calls that run or wait there, without the one to be placed. */
  readonly inUse: number;
  /** Slots that increase the throughput when they are used. */
  readonly slots: number;
  /** Usual service time, without the momentary slowdown. */
  readonly serviceMs: number;
  /** Ratio of the momentary service time to the usual one. */
  readonly slowdown: number;
}

/** Computes the cost of one more call, in milliseconds. */
export type ComputeCostMs = (inputs: FinishInputs) => number;

/**
 * Uncertainty of `inUse`, in multiples of the square root of the slots. Arrivals
 * at random change the number of calls by this much between two reports.
 */
const USE_UNCERTAINTY = 0.5;

/**
 * Computes the expected time to finish. In a queue with several servers a call
 * starts at once while a slot is free, and otherwise waits until as many calls
 * have ended as are over the slots; all slots together end one every service
 * time over slots. As reports are up to 100 ms old, the number of calls over the
 * slots is taken as a mean over an uncertain number in use.
 */
export function computeFinishMs(inputs: FinishInputs): number {
  const { slots, serviceMs, slowdown } = inputs;
  const { excess, spread } = computeExcess(inputs);
  const over = spread * computeSoftExcess(excess);
  return serviceMs * slowdown * (1 + over / slots);
}

/**
 * Computes the expected time to finish plus the time by which the call delays the
 * others there. By the former alone, calls wait at the fastest backend server
 * until it is as slow as an idle slow one: with speeds of 0.5 to 1.5, up to 4 in
 * 100 calls then waited for over 60 ms below 0.9 of the capacity.
 */
export function computeCostMs(inputs: FinishInputs): number {
  const { inUse, slots, serviceMs, slowdown } = inputs;
  const { excess } = computeExcess(inputs);
  const fullShare = 1 / (1 + Math.exp(-excess));
  const delayMs = serviceMs * slowdown * fullShare * (inUse + 1) / slots;
  return computeFinishMs(inputs) + delayMs;
}

/** Computes the calls over the slots, in multiples of their uncertainty. */
function computeExcess(
  { inUse, slots }: FinishInputs,
): { readonly excess: number; readonly spread: number } {
  const spread = USE_UNCERTAINTY * Math.sqrt(slots);
  return { excess: (inUse + 1 - slots) / spread, spread };
}

/** Computes the mean of the positive part of an uncertain excess. */
function computeSoftExcess(excess: number): number {
  // The exponential would overflow where the excess is large, and adds nothing.
  return excess > 30 ? excess : Math.log1p(Math.exp(excess));
}
