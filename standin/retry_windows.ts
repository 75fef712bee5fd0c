/**
 * Compares the repeats that backend servers received with the retry budget, in
 * sliding windows of time.
 */

/** An arrival of a call at a backend server of a service. */
export interface Arrival {
  readonly service: string;
  readonly atMs: number;
  /**
   * Whether it is not the first arrival of its request, or was sent by a run
   * that was a repeat.
   */
  readonly isRepeat: boolean;
}

/** The retry budget of a window. */
export interface RetryTerms {
  /** Allowed repeats per request. */
  readonly ratio: number;
  /** Allowed repeats in addition, independent of the number of requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * The window of a service in which the repeats exceed the budget most, or come
 * closest to it.
 */
export interface WorstWindow {
  readonly service: string;
  readonly endMs: number;
  readonly repeats: number;
  /** Arrivals that are no repeats. */
  readonly requests: number;
  /** Repeats that the budget allows. */
  readonly allowed: number;
}

/** Finds the worst window of each service that received repeats. */
export function findWorstWindows(
  arrivals: readonly Arrival[],
  terms: RetryTerms,
): readonly WorstWindow[] {
  const services = [...new Set(arrivals.map(({ service }) => service))];
  return services.sort().flatMap((service) => {
    const serviceArrivals = arrivals.filter((arrival) =>
      arrival.service === service
    );
    const worst = findWorstWindow(service, serviceArrivals, terms);
    return worst === undefined ? [] : [worst];
  });
}

function findWorstWindow(
  service: string,
  arrivals: readonly Arrival[],
  { ratio, slack, windowMs }: RetryTerms,
): WorstWindow | undefined {
  const listTimes = (isRepeat: boolean) =>
    arrivals.filter((arrival) => arrival.isRepeat === isRepeat)
      .map(({ atMs }) => atMs).sort((a, b) => a - b);
  const firsts = listTimes(false);
  const repeats = listTimes(true);
  let worst: WorstWindow | undefined;
  for (const endMs of repeats) {
    // The budget is computed from the highest number of requests in this window
    // and the windows that end half a window and a full window earlier.
    const windowEnds = [endMs, endMs - windowMs / 2, endMs - windowMs];
    const requests = Math.max(
      ...windowEnds.map((end) => countInWindow(firsts, end, windowMs)),
    );
    const count = countInWindow(repeats, endMs, windowMs);
    const allowed = ratio * requests + slack;
    if (
      worst === undefined || count - allowed > worst.repeats - worst.allowed
    ) {
      worst = { service, endMs, repeats: count, requests, allowed };
    }
  }
  return worst;
}

/** Counts the times in a window; `times` is sorted, `endMs` inclusive. */
function countInWindow(
  times: readonly number[],
  endMs: number,
  windowMs: number,
): number {
  return findFirstAfter(times, endMs) - findFirstAfter(times, endMs - windowMs);
}

/** Finds the index of the first of sorted times after `atMs`, by bisection. */
function findFirstAfter(times: readonly number[], atMs: number): number {
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
