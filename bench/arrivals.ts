/** Seeded random numbers, and Poisson arrivals for open-loop load. */

/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** An interval of load at a constant mean rate. */
export interface LoadPhase {
  readonly durationMs: number;
  /** Mean arrivals per second. */
  readonly perSecond: number;
}

/** Creates a generator whose sequence depends on the seed alone (mulberry32). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Draws arrival times, in milliseconds from the start of the first phase. */
export function planArrivals(
  phases: readonly LoadPhase[],
  random: Random,
): readonly number[] {
  const arrivals: number[] = [];
  let startMs = 0;
  for (const { durationMs, perSecond } of phases) {
    const endMs = startMs + durationMs;
    const meanGapMs = 1_000 / perSecond;
    let atMs = startMs - Math.log(1 - random()) * meanGapMs;
    while (atMs < endMs) {
      arrivals.push(atMs);
      atMs -= Math.log(1 - random()) * meanGapMs;
    }
    startMs = endMs;
  }
  return arrivals;
}

/** Picks an index with a probability proportional to its weight. */
export function pickWeighted(
  weights: readonly number[],
  random: Random,
): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random() * total;
  const index = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return index < 0 ? weights.length - 1 : index;
}
