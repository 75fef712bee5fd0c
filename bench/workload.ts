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
  readonly kinds: readonly WorkloadKind[];
}

/** Backend servers of each service. */
export const SERVERS_PER_SERVICE = 2;
/** Requests that one backend server runs at a time. */
export const SLOTS = 4;
/** Own time of one request at a backend server, in milliseconds. */
export const SERVICE_MS = 60;
/** Kinds from this importance up must be the last refused. */
export const IMPORTANT = 8;

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
    kinds: [
      {
        ...LOOKUP,
        kind: "bale-lookup",
        service: "provenance",
        path: "/bales/",
        importance: 3,
        timeoutMs: 2_000,
        share: 0.5,
      },
      {
        ...ORDER,
        kind: "custody-transfer",
        service: "custody",
        path: "/transfers",
        importance: 9,
        share: 0.15,
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
        share: 0.25,
      },
    ],
  },
  {
    name: "toy-trust",
    table: "examples/toy-trust/table.csv",
    kinds: [
      {
        ...LOOKUP,
        kind: "price-lookup",
        service: "catalog",
        path: "/prices/",
        importance: 4,
        timeoutMs: 1_500,
        share: 0.4,
      },
      {
        ...LOOKUP,
        kind: "stock-lookup",
        service: "storedesk",
        path: "/stock/",
        importance: 4,
        timeoutMs: 1_500,
        share: 0.3,
      },
      {
        ...ORDER,
        kind: "refund",
        service: "tillside",
        path: "/refunds",
        importance: 9,
        share: 0.1,
        calls: ["stock-lookup", "price-lookup"],
      },
      {
        ...ORDER,
        kind: "restock-order",
        service: "storedesk",
        path: "/restock",
        importance: 8,
        share: 0.1,
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

/** Lists the services that a kind of request needs. */
export function listTreeServices(
  workload: Workload,
  kind: WorkloadKind,
): readonly string[] {
  const called = kind.calls.map((name) => findKind(workload, name).service);
  return [kind.service, ...called];
}

/** Computes the mean number of runs that a whole root request needs. */
export function computeRunsPerRoot(workload: Workload): number {
  const { kinds } = workload;
  return kinds.reduce(
    (sum, { share, calls }) => sum + share * (1 + calls.length),
    0,
  );
}

/**
 * Computes the root requests a second that fill the busiest service. A slot
 * stays taken while the calls that its request makes are under way.
 */
export function computeCapacity(workload: Workload): number {
  const slotMs = new Map<string, number>();
  const addTime = (service: string, ms: number) =>
    slotMs.set(service, (slotMs.get(service) ?? 0) + ms);
  for (const kind of workload.kinds) {
    const ownMs = kind.calls.length > 0 ? 2 * SERVICE_MS : SERVICE_MS;
    addTime(kind.service, kind.share * ownMs);
    for (const name of kind.calls) {
      addTime(findKind(workload, name).service, kind.share * SERVICE_MS);
    }
  }
  const slots = SERVERS_PER_SERVICE * SLOTS;
  return slots * 1_000 / Math.max(...slotMs.values());
}

/** Finds a kind by its name. */
export function findKind(workload: Workload, name: string): WorkloadKind {
  return workload.kinds.find(({ kind }) => kind === name)!;
}
