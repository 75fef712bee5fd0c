/**
 * What a fleet's retries come to in any window of time, from what backend
 * servers saw of them.
 */

/** An arrival at a service. */
export interface Arrival {
  readonly service: string;
  readonly atMs: number;
  /** Beyond the first of its request, or made by a run that was a repeat. */
  readonly isRepeat: boolean;
}

/** What is allowed in a window. */
export interface RetryTerms {
  /** Repeats as a share of the requests. */
  readonly ratio: number;
  /** Repeats that are allowed in any case. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The window of a service that comes closest to its bound, or is beyond. */
export interface WorstWindow {
  readonly service: string;
  readonly endMs: number;
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Finds the worst window of each service that saw repeats. */
export function findWorstWindows(
  arrivals: readonly Arrival[],
  terms: RetryTerms,
): readonly WorstWindow[] {
  const services = [...new Set(arrivals.map(({ service }) => service))];
  return services.sort().flatMap((service) => {
    const own = arrivals.filter((one) => one.service === service);
    const worst = findWorstWindow(service, own, terms);
    return worst === undefined ? [] : [worst];
  });
}

function findWorstWindow(
  service: string,
  arrivals: readonly Arrival[],
  { ratio, slack, windowMs }: RetryTerms,
): WorstWindow | undefined {
  const times = (isRepeat: boolean) =>
    arrivals.filter((one) => one.isRepeat === isRepeat)
      .map(({ atMs }) => atMs).sort((a, b) => a - b);
  const firsts = times(false);
  const repeats = times(true);
  let worst: WorstWindow | undefined;
  for (const endMs of repeats) {
    // Requests count where a window, or one up to its length before, has most.
    const ends = [endMs, endMs - windowMs / 2, endMs - windowMs];
    const requests = Math.max(
      ...ends.map((end) => countUntil(firsts, end, windowMs)),
    );
    const count = countUntil(repeats, endMs, windowMs);
    const allowed = ratio * requests + slack;
    if (
      worst === undefined || count - allowed > worst.repeats - worst.allowed
    ) {
      worst = { service, endMs, repeats: count, requests, allowed };
    }
  }
  return worst;
}

/** Counts sorted times in a window that ends at one. */
function countUntil(
  times: readonly number[],
  endMs: number,
  windowMs: number,
): number {
  return findAfter(times, endMs) - findAfter(times, endMs - windowMs);
}

/** Finds the index of the first time after a given one. */
function findAfter(times: readonly number[], atMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! <= atMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
