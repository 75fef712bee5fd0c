/**
 * Weight of a sample in a smoothed figure. With a weight that depends on the
 * time since the last sample, the figure follows as quickly at a few samples a
 * second as at thousands.
 */

/** How a smoothed figure follows its samples. */
export interface SampleGain {
  /** Bounds of the weight, 0 to 1. */
  readonly min: number;
  readonly max: number;
  /** Time in which earlier samples lose two thirds of their weight. */
  readonly timeConstantMs: number;
}

/** Computes the weight of a sample `elapsedMs` after the last one. */
export function computeSampleGain(
  elapsedMs: number,
  { min, max, timeConstantMs }: SampleGain,
): number {
  const gain = 1 - Math.exp(-elapsedMs / timeConstantMs);
  return Math.min(max, Math.max(min, gain));
}
