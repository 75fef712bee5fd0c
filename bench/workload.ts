/** Call graphs of two deployments, scaled down to run on one machine. */

/** One kind of request and the work needed to answer it. */
export interface WorkloadKind {
  readonly kind: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  /** If it ends in a slash, an id is appended for each request. */
  readonly path: string;
  readonly importance: number;
  /** Timeout, as in the deployment's table. */
  readonly timeoutMs: number;
  /** Share of all root requests, from 0 to 1. */
  readonly share: number;
  readonly bodyBytes: number;
  /** Kinds that its backend server calls concurrently. */
  readonly calls: readonly string[];
}

/** The call graph and the table of one deployment. */
export interface Workload {
  readonly name: string;
  readonly table: string;
  /**
   * Processing time of one request at a service, in milliseconds, without its
   * calls. Long enough that slots and not processor time are the limit, even at
   * 8 times the capacity and with many resends.
   */
  readonly serviceMs: Readonly<Record<string, number>>;
  readonly kinds: readonly WorkloadKind[];
  /** Slots of one backend server, by service; `SLOTS` where absent. */
  readonly slots?: Readonly<Record<string, number>>;
}

/** Number of backend servers of each service. */
export const SERVERS_PER_SERVICE = 2;
/** Default number of requests that one backend server runs concurrently. */
export const SLOTS = 4;
/** Lowest importance of the kinds that must be refused last. */
export const MIN_IMPORTANT = 8;

/**
 * Slots of a service that calls others. It holds its slots also while its calls
 * are queued; with `SLOTS` it would refuse requests that the downstream services
 * still have capacity for.
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

/** Computes the mean number of runs for a root request and all its calls. */
export function computeRunsPerRoot(workload: Workload): number {
  const { kinds } = workload;
  return kinds.reduce(
    (sum, { share, calls }) => sum + share * (1 + calls.length),
    0,
  );
}

/** Computes the root requests per second that saturate the busiest service. */
export function computeCapacity(workload: Workload): number {
  const slotMs = new Map<string, number>();
  for (const kind of workload.kinds) {
    for (const [service, ms] of listSlotTimes(workload, kind)) {
      slotMs.set(service, (slotMs.get(service) ?? 0) + kind.share * ms);
    }
  }
  const rates = [...slotMs].map(([service, ms]) =>
    computeSlotMsPerSecond(workload, service) / ms
  );
  return Math.min(...rates);
}

/**
 * Computes the highest possible goodput at `perSecond` root requests per second
 * if more important kinds are served first.
 */
export function computeIdealGoodput(
  workload: Workload,
  perSecond: number,
): number {
  const remainingMs = new Map<string, number>();
  const byImportance = workload.kinds.toSorted((a, b) =>
    b.importance - a.importance
  );
  let goodput = 0;
  for (const kind of byImportance) {
    const slotTimes = listSlotTimes(workload, kind);
    const maxPerSecond = slotTimes.map(([service, ms]) =>
      (remainingMs.get(service) ?? computeSlotMsPerSecond(workload, service)) /
      ms
    );
    const served = Math.min(kind.share * perSecond, ...maxPerSecond);
    goodput += served;
    for (const [service, ms] of slotTimes) {
      const before = remainingMs.get(service) ??
        computeSlotMsPerSecond(workload, service);
      remainingMs.set(service, before - served * ms);
    }
  }
  return goodput;
}

/** Returns the number of slots of one backend server of a service. */
export function countSlots(workload: Workload, service: string): number {
  return workload.slots?.[service] ?? SLOTS;
}

/** Computes the slot time of a service per second, in milliseconds. */
function computeSlotMsPerSecond(workload: Workload, service: string): number {
  return SERVERS_PER_SERVICE * countSlots(workload, service) * 1_000;
}

/**
 * Lists the slot time that one request uses at each service, in milliseconds. A
 * request holds its slot until its calls have ended.
 */
function listSlotTimes(
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
