/** The call graphs of both deployments, scaled down for one machine. */

/** One kind of request and what it takes to answer it. */
export interface WorkloadKind {
  readonly kind: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  /** A number is appended for each request, where it ends in a slash. */
  readonly path: string;
  readonly importance: number;
  /** As in the deployment's table, in milliseconds. */
  readonly timeoutMs: number;
  /** Share of all root requests. */
  readonly share: number;
  readonly bodyBytes: number;
  /** Kinds that its backend server calls, all at once. */
  readonly calls: readonly string[];
}

/** One deployment. */
export interface Workload {
  readonly name: string;
  readonly table: string;
  /**
   * Own time of one request at a service, in milliseconds. Long ones, so that
   * the slots and not the processors of one machine are the limit at 8 times
   * the capacity, and with hard resends.
   */
  readonly serviceMs: Readonly<Record<string, number>>;
  readonly kinds: readonly WorkloadKind[];
  /** Slots of one backend server, of services that have other than `SLOTS`. */
  readonly slots?: Readonly<Record<string, number>>;
}

/** Backend servers of each service. */
export const SERVERS_PER_SERVICE = 2;
/** Requests that one backend server runs at a time, if not set otherwise. */
export const SLOTS = 4;
/** Kinds from this importance up must be the last refused. */
export const IMPORTANT = 8;

/**
 * A service that waits for others holds its slots for their queues as well.
 * With `SLOTS` it alone would refuse what the services below have room for.
 */
const WAITING_SLOTS = 8;
const BATCH_BYTES = 20_000;
const ORDER_BYTES = 40;

const LOOKUP = { method: "GET", bodyBytes: 0, calls: [] } as const;
const ORDER = {
  method: "POST",
  bodyBytes: ORDER_BYTES,
  timeoutMs: 5_000,
} as const;
const BATCH = {
  kind: "photo-batch",
  method: "POST",
  path: "/batches/",
  importance: 2,
  timeoutMs: 30_000,
  bodyBytes: BATCH_BYTES,
  calls: [],
} as const;

/** Both deployments. */
export const WORKLOADS: readonly Workload[] = [
  {
    name: "coton-loukkos",
    table: "examples/coton-loukkos/table.csv",
    serviceMs: { provenance: 130, custody: 50, classing: 800, warehouse: 228 },
    slots: { custody: WAITING_SLOTS },
    kinds: [
      {
        ...LOOKUP,
        kind: "bale-lookup",
        service: "provenance",
        path: "/bales/",
        importance: 3,
        timeoutMs: 2_000,
        share: 0.55,
      },
      {
        ...ORDER,
        kind: "custody-transfer",
        service: "custody",
        path: "/transfers",
        importance: 9,
        share: 0.06,
        calls: ["bale-lookup", "stock-check"],
      },
      { ...BATCH, service: "classing", share: 0.1 },
      {
        ...LOOKUP,
        kind: "stock-check",
        service: "warehouse",
        path: "/stock/",
        importance: 4,
        timeoutMs: 2_000,
        share: 0.29,
      },
    ],
  },
  {
    name: "toy-trust",
    table: "examples/toy-trust/table.csv",
    serviceMs: { catalog: 156, storedesk: 186, tillside: 50, buyerbox: 800 },
    slots: { tillside: WAITING_SLOTS },
    kinds: [
      {
        ...LOOKUP,
        kind: "price-lookup",
        service: "catalog",
        path: "/prices/",
        importance: 4,
        timeoutMs: 1_500,
        share: 0.47,
      },
      {
        ...LOOKUP,
        kind: "stock-lookup",
        service: "storedesk",
        path: "/stock/",
        importance: 4,
        timeoutMs: 1_500,
        share: 0.34,
      },
      {
        ...ORDER,
        kind: "refund",
        service: "tillside",
        path: "/refunds",
        importance: 9,
        share: 0.04,
        calls: ["stock-lookup", "price-lookup"],
      },
      {
        ...ORDER,
        kind: "restock-order",
        service: "storedesk",
        path: "/restock",
        importance: 8,
        share: 0.05,
        calls: [],
      },
      { ...BATCH, service: "buyerbox", share: 0.1 },
    ],
  },
];

/** Lists the services of a workload. */
export function listServices(workload: Workload): readonly string[] {
  return [...new Set(workload.kinds.map(({ service }) => service))];
}

/** Computes the mean number of runs that a whole root request needs. */
export function computeRunsPerRoot(workload: Workload): number {
  const { kinds } = workload;
  return kinds.reduce(
    (sum, { share, calls }) => sum + share * (1 + calls.length),
    0,
  );
}

/** Computes the root requests a second that fill the busiest service. */
export function computeCapacity(workload: Workload): number {
  const slotMs = new Map<string, number>();
  for (const kind of workload.kinds) {
    for (const [service, ms] of listHolds(workload, kind)) {
      slotMs.set(service, (slotMs.get(service) ?? 0) + kind.share * ms);
    }
  }
  const rates = [...slotMs].map(([service, ms]) =>
    computeSlotMs(workload, service) / ms
  );
  return Math.min(...rates);
}

/**
 * Computes the most whole answers a second at `perSecond` root requests a
 * second, where the more important kinds are served first.
 */
export function computeIdealGoodput(
  workload: Workload,
  perSecond: number,
): number {
  const left = new Map<string, number>();
  const byImportance = workload.kinds.toSorted((a, b) =>
    b.importance - a.importance
  );
  let goodput = 0;
  for (const kind of byImportance) {
    const holds = listHolds(workload, kind);
    const room = holds.map(([service, ms]) =>
      (left.get(service) ?? computeSlotMs(workload, service)) / ms
    );
    const served = Math.min(kind.share * perSecond, ...room);
    goodput += served;
    for (const [service, ms] of holds) {
      const before = left.get(service) ?? computeSlotMs(workload, service);
      left.set(service, before - served * ms);
    }
  }
  return goodput;
}

/** Slots of one backend server of a service. */
export function countSlots(workload: Workload, service: string): number {
  return workload.slots?.[service] ?? SLOTS;
}

/** Slot time that a service has in a second, in milliseconds. */
function computeSlotMs(workload: Workload, service: string): number {
  return SERVERS_PER_SERVICE * countSlots(workload, service) * 1_000;
}

/**
 * Lists the slot time that one request takes at each service. A slot stays
 * taken while the calls that its request makes are under way.
 */
function listHolds(
  workload: Workload,
  kind: WorkloadKind,
): readonly (readonly [string, number])[] {
  const calls = kind.calls.map((name): readonly [string, number] => {
    const { service } = findKind(workload, name);
    return [service, workload.serviceMs[service]!];
  });
  const longestMs = Math.max(0, ...calls.map(([, ms]) => ms));
  const ownMs = workload.serviceMs[kind.service]! + longestMs;
  return [[kind.service, ownMs], ...calls];
}

/** Finds a kind by its name. */
export function findKind(workload: Workload, name: string): WorkloadKind {
  return workload.kinds.find(({ kind }) => kind === name)!;
}
