/**
 * Services from whose VMs the calls of a route come. Callers run on the VMs of
 * all services, so their requests come from all of them; the calls that a
 * backend server makes come only from the VMs of its own service.
 *
 * Load pattern: about ten calls are enough, far fewer than the counts of
 * coincidences need, so it already works for a surge in the first second.
 */

/** Numbers of calls by route, then by the service whose VM they came from. */
export type SpreadReport = readonly (readonly [
  route: string,
  callers: readonly (readonly [service: string, calls: number])[],
])[];

/** A number of calls with exponential decay. */
interface DecayingCount {
  /** Value at `updatedAtMs`. */
  calls: number;
  updatedAtMs: number;
}

/** Half-life of a call in the counts. */
const HALF_LIFE_MS = 10_000;
/** A report expires after this time. */
const REPORT_VALID_MS = 5_000;
/** Minimum number of calls for a decision. */
const MIN_CALLS = 10;
/**
 * Minimum number of calls of any route from the VMs of a service; with fewer,
 * there may be no callers on them.
 */
const MIN_CALLER_CALLS = 20;
/**
 * A route is called by backend servers if a VM of another service sends less
 * than this ratio of the calls that a VM of the own service sends. The numbers
 * of callers' requests differ by less, as each service has VMs in several data
 * centres.
 */
const MAX_NESTED_RATIO = 0.2;

/**
 * Counts the calls that arrive at one gate, the admission gate of one backend
 * server.
 */
export class SpreadCounter {
  readonly #routes = new Map<string, Map<string, DecayingCount>>();

  /** Records a call that came from a VM of `callerService`. */
  recordCall(route: string, callerService: string, nowMs: number): void {
    const callers = this.#routes.get(route) ?? new Map<string, DecayingCount>();
    this.#routes.set(route, callers);
    const count = callers.get(callerService) ??
      { calls: 0, updatedAtMs: nowMs };
    callers.set(callerService, count);
    count.calls = computeDecayedCount(count, nowMs) + 1;
    count.updatedAtMs = nowMs;
  }

  /** Creates the report for other nodes. */
  createReport(nowMs: number): SpreadReport {
    return [...this.#routes].map(([route, callers]) =>
      [
        route,
        [...callers]
          .map(([service, count]) =>
            [service, Math.round(computeDecayedCount(count, nowMs))] as const
          )
          .filter(([, calls]) => calls > 0),
      ] as const
    ).filter(([, callers]) => callers.length > 0);
  }
}

/** The last report of one gate. */
interface ReceivedReport {
  readonly report: SpreadReport;
  readonly receivedAtMs: number;
}

/** Evaluates the reports of all gates. */
export class CallerSpread {
  readonly #reports = new Map<string, ReceivedReport>();

  /** Records the report of the gate at an address. */
  receiveReport(address: string, report: SpreadReport, nowMs: number): void {
    this.#reports.set(address, { report, receivedAtMs: nowMs });
  }

  /**
   * Returns whether the calls of a route from the VMs of a service are made by
   * its backend servers, or undefined if there are too few calls.
   */
  detectNested(
    route: string,
    inputs: {
      readonly service: string;
      /** Number of known nodes by service. */
      readonly nodes: ReadonlyMap<string, number>;
      readonly nowMs: number;
    },
  ): boolean | undefined {
    const { service, nodes, nowMs } = inputs;
    const { routeCalls, allCalls } = this.#sumCalls(route, nowMs);
    const calls = routeCalls.get(service) ?? 0;
    if (calls < MIN_CALLS) {
      return undefined;
    }
    const callsPerNode = calls / Math.max(1, nodes.get(service) ?? 1);
    // A service is compared only if at least one call from its VMs would be
    // expected at the ratio.
    const others = [...nodes].filter(([name, count]) =>
      name !== service && count > 0 &&
      (allCalls.get(name) ?? 0) >= MIN_CALLER_CALLS &&
      callsPerNode * count * MAX_NESTED_RATIO >= 1
    );
    return others.length === 0
      ? undefined
      : others.some(([name, count]) =>
        (routeCalls.get(name) ?? 0) / count < callsPerNode * MAX_NESTED_RATIO
      );
  }

  /** Sums the calls of a route, and of all routes, by the calling service. */
  #sumCalls(route: string, nowMs: number) {
    const routeCalls = new Map<string, number>();
    const allCalls = new Map<string, number>();
    for (const [address, { report, receivedAtMs }] of this.#reports) {
      if (nowMs - receivedAtMs > REPORT_VALID_MS) {
        this.#reports.delete(address);
        continue;
      }
      for (const [name, counts] of report) {
        for (const [service, calls] of counts) {
          addCount(allCalls, service, calls);
          if (name === route) {
            addCount(routeCalls, service, calls);
          }
        }
      }
    }
    return { routeCalls, allCalls };
  }
}

function computeDecayedCount(
  { calls, updatedAtMs }: DecayingCount,
  nowMs: number,
): number {
  return calls * 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
}

function addCount(
  counts: Map<string, number>,
  name: string,
  increment: number,
): void {
  counts.set(name, (counts.get(name) ?? 0) + increment);
}
