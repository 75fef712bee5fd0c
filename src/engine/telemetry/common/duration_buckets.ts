/** Histograms of durations, with cumulative buckets as Prometheus reads them. */

/** Upper bounds of the buckets; answers usually take 10 ms to a few seconds. */
export const BUCKET_BOUNDS_MS: readonly number[] = [
  2,
  5,
  10,
  25,
  50,
  100,
  250,
  500,
  1_000,
  2_500,
  5_000,
  10_000,
];

/** One histogram for each value of a label. */
export class DurationBuckets {
  /** Counts by label, one per bucket and not cumulative; the last is unbounded. */
  readonly #counts = new Map<string, number[]>();

  record(label: string, durationMs: number): void {
    const counts = this.#counts.get(label) ??
      Array<number>(BUCKET_BOUNDS_MS.length + 1).fill(0);
    this.#counts.set(label, counts);
    const index = BUCKET_BOUNDS_MS.findIndex((boundMs) =>
      durationMs <= boundMs
    );
    counts[index < 0 ? BUCKET_BOUNDS_MS.length : index]! += 1;
  }

  /** Lists each label and bound with the number of durations at most as long. */
  list(): readonly (readonly [label: string, bound: string, count: number])[] {
    return [...this.#counts].flatMap(([label, counts]) => {
      let total = 0;
      return counts.map((count, index) => {
        total += count;
        const bound = index < BUCKET_BOUNDS_MS.length
          ? String(BUCKET_BOUNDS_MS[index])
          : "+Inf";
        return [label, bound, total] as const;
      });
    });
  }
}
