/**
 * From which services the calls of a route come. Callers sit on the VMs of all
 * services, so their requests come from all; the calls that a backend server
 * makes come from the VMs of its own service alone.
 *
 * Load pattern: it is known after some ten calls, long before counts of
 * coincidences are, so a surge in the first second finds it.
 */

/** Calls by route, then by the service on whose VM they began. */
export type SpreadReport = readonly (readonly [
  route: string,
  callers: readonly (readonly [service: string, calls: number])[],
])[];

interface DecayingCount {
  calls: number;
  updatedAtMs: number;
}

/** After so long a call counts half. */
const HALF_LIFE_MS = 10_000;
/** A gate that has said nothing for so long is left out. */
const REPORT_VALID_MS = 5_000;
/** Fewer calls than this decide nothing. */
const MIN_CALLS = 10;
/** Calls of any route that show that callers can reach a service's VMs. */
const MIN_CALLER_CALLS = 20;
/**
 * A VM of another service sends less than this part of what a VM of the own
 * service sends: callers' requests differ by less, as each service has VMs in
 * several data centres.
 */
const MAX_NESTED_RATIO = 0.2;

/** Counts what arrives at one gate. */
export class SpreadCounter {
  readonly #routes = new Map<string, Map<string, DecayingCount>>();

  /** Counts a call that began on a VM of a service. */
  recordCall(route: string, callerService: string, nowMs: number): void {
    const callers = this.#routes.get(route) ?? new Map<string, DecayingCount>();
    this.#routes.set(route, callers);
    const count = callers.get(callerService) ??
      { calls: 0, updatedAtMs: nowMs };
    callers.set(callerService, count);
    count.calls = computeDecayedCount(count, nowMs) + 1;
    count.updatedAtMs = nowMs;
  }

  /** Creates what other nodes are told. */
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

interface ReceivedReport {
  readonly report: SpreadReport;
  readonly receivedAtMs: number;
}

/** Sums what gates report. */
export class CallerSpread {
  readonly #reports = new Map<string, ReceivedReport>();

  /** Takes the report of the gate at an address. */
  receiveReport(address: string, report: SpreadReport, nowMs: number): void {
    this.#reports.set(address, { report, receivedAtMs: nowMs });
  }

  /**
   * Judges whether calls of a route from VMs of a service are made by its
   * backend servers; undefined where too little is known.
   */
  detectNested(
    route: string,
    asked: {
      readonly service: string;
      /** Nodes of each service, where known. */
      readonly nodes: ReadonlyMap<string, number>;
      readonly nowMs: number;
    },
  ): boolean | undefined {
    const { service, nodes, nowMs } = asked;
    const { callers, alive } = this.#sum(route, nowMs);
    const calls = callers.get(service) ?? 0;
    if (calls < MIN_CALLS) {
      return undefined;
    }
    const own = calls / Math.max(1, nodes.get(service) ?? 1);
    const others = [...nodes].filter(([name, count]) =>
      name !== service && count > 0 &&
      (alive.get(name) ?? 0) >= MIN_CALLER_CALLS &&
      own * count * MAX_NESTED_RATIO >= 1
    );
    return others.length === 0
      ? undefined
      : others.some(([name, count]) =>
        (callers.get(name) ?? 0) / count < own * MAX_NESTED_RATIO
      );
  }

  #sum(route: string, nowMs: number) {
    const callers = new Map<string, number>();
    const alive = new Map<string, number>();
    for (
      const [address, { report, receivedAtMs: heardAtMs }] of this.#reports
    ) {
      if (nowMs - heardAtMs > REPORT_VALID_MS) {
        this.#reports.delete(address);
        continue;
      }
      for (const [name, counts] of report) {
        for (const [service, calls] of counts) {
          addCount(alive, service, calls);
          if (name === route) {
            addCount(callers, service, calls);
          }
        }
      }
    }
    return { callers, alive };
  }
}

function computeDecayedCount(
  { calls, updatedAtMs: notedAtMs }: DecayingCount,
  nowMs: number,
): number {
  return calls * 0.5 ** ((nowMs - notedAtMs) / HALF_LIFE_MS);
}

function addCount(
  counts: Map<string, number>,
  name: string,
  more: number,
): void {
  counts.set(name, (counts.get(name) ?? 0) + more);
}
