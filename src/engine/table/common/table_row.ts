/** Data types of the operators' table. */

/** How the idempotency key of a request is treated. */
export type KeyRule = "none" | "optional" | "required";

/** One kind of request: its matching rule, priority and limits. */
export interface TableRow {
  /** Name of the kind; unique in the table. */
  readonly kind: string;
  /** Service whose backend servers run it. */
  readonly service: string;
  /** HTTP method in capitals, or `*`. */
  readonly method: string;
  /** Path pattern: `*` matches one segment, a final `**` any remaining ones. */
  readonly path: string;
  /** Relative share of capacity among kinds of the same importance; above 0. */
  readonly weight: number;
  /** 0 (refused first) to 9 (refused last). */
  readonly importance: number;
  /** Maximum number of running requests of the kind at one backend server. */
  readonly concurrency: number;
  /** Maximum rate of the kind at one backend server, in requests per second. */
  readonly rate: number;
  /** Maximum number of queued requests of the kind at one backend server. */
  readonly queue: number;
  /** Timeout of a root request, including all calls made for it. */
  readonly timeoutMs: number;
  /** Maximum number of retries in the call tree of one root request. */
  readonly retries: number;
  /** Whether a request may safely run more than once. */
  readonly idempotent: boolean;
  /** How an `Idempotency-Key` header is treated. */
  readonly key: KeyRule;
  /** Maximum size of a request body. */
  readonly maxBodyBytes: number;
}

/** A row, and the table version that last changed it. */
export interface VersionedRow extends TableRow {
  readonly version: number;
}

/** The table, as sent to the nodes. */
export interface Table {
  /** Grows by one with every accepted edit; 0 is the empty table. */
  readonly version: number;
  readonly rows: readonly VersionedRow[];
}

/** The table before any edit. */
export const EMPTY_TABLE: Table = { version: 0, rows: [] };

/** The columns of the CSV form, in order. */
export const TABLE_COLUMNS = [
  "kind",
  "service",
  "method",
  "path",
  "weight",
  "importance",
  "concurrency",
  "rate",
  "queue",
  "timeout_ms",
  "retries",
  "idempotent",
  "key",
  "max_body_bytes",
  "version",
] as const;

export type TableColumn = typeof TABLE_COLUMNS[number];

/** Whether two rows are equal, ignoring their versions. */
export function isSameRow(a: TableRow, b: TableRow): boolean {
  return a.kind === b.kind && a.service === b.service &&
    a.method === b.method && a.path === b.path && a.weight === b.weight &&
    a.importance === b.importance && a.concurrency === b.concurrency &&
    a.rate === b.rate && a.queue === b.queue &&
    a.timeoutMs === b.timeoutMs && a.retries === b.retries &&
    a.idempotent === b.idempotent && a.key === b.key &&
    a.maxBodyBytes === b.maxBodyBytes;
}
