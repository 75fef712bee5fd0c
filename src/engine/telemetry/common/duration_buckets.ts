/** Durations counted by upper bound, for histograms of a scrape. */

/** Upper bounds in milliseconds; usual answers take 10 ms to some seconds. */
export const BOUNDS_MS: readonly number[] = [
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
  /** Counts by label; each counts the durations up to its bound. */
  readonly #counts = new Map<string, number[]>();

  /** Counts a duration. */
  note(label: string, durationMs: number): void {
    const counts = this.#counts.get(label) ??
      Array<number>(BOUNDS_MS.length + 1).fill(0);
    this.#counts.set(label, counts);
    const at = BOUNDS_MS.findIndex((boundMs) => durationMs <= boundMs);
    counts[at < 0 ? BOUNDS_MS.length : at]! += 1;
  }

  /** Lists label, bound and the durations that are not above it. */
  list(): readonly (readonly [label: string, bound: string, count: number])[] {
    return [...this.#counts].flatMap(([label, counts]) => {
      let total = 0;
      return counts.map((count, at) => {
        total += count;
        const bound = at < BOUNDS_MS.length ? String(BOUNDS_MS[at]) : "+Inf";
        return [label, bound, total] as const;
      });
    });
  }
}
