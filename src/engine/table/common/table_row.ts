/** The rows of the operators' table. */

/** What a row asks of the idempotency key of a request. */
export type KeyRule = "none" | "optional" | "required";

/** One kind of request: how it is matched, weighed and limited. */
export interface TableRow {
  /** Name of the kind; unique in the table. */
  readonly kind: string;
  /** Service whose backend servers run it. */
  readonly service: string;
  /** HTTP method in capitals, or `*`. */
  readonly method: string;
  /** Path pattern: `*` is one segment, a last `**` is any rest. */
  readonly path: string;
  /** Share among the kinds of one importance; above 0. */
  readonly weight: number;
  /** 0 (first refused) to 9 (last refused). */
  readonly importance: number;
  /** Most requests of the kind in progress at one backend server. */
  readonly concurrency: number;
  /** Most requests of the kind a second at one backend server. */
  readonly rate: number;
  /** Most requests of the kind waiting at one backend server. */
  readonly queue: number;
  /** Time a root request may take, in milliseconds. */
  readonly timeoutMs: number;
  /** Retries over the whole call tree of one root request. */
  readonly retries: number;
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
  /** Whether requests carry an `Idempotency-Key`. */
  readonly key: KeyRule;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
}

/** A row and the table version that wrote it last. */
export interface VersionedRow extends TableRow {
  readonly version: number;
}

/** The table as nodes hold it. */
export interface Table {
  /** Grows by one with every accepted edit; 0 is the empty table. */
  readonly version: number;
  readonly rows: readonly VersionedRow[];
}

/** The table before any edit. */
export const EMPTY_TABLE: Table = { version: 0, rows: [] };

/** The columns of the CSV form, in order; `version` comes last. */
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

/** The name of one column. */
export type TableColumn = typeof TABLE_COLUMNS[number];

/** Whether two rows say the same, whatever their versions. */
export function isSameRow(a: TableRow, b: TableRow): boolean {
  return a.kind === b.kind && a.service === b.service &&
    a.method === b.method && a.path === b.path && a.weight === b.weight &&
    a.importance === b.importance && a.concurrency === b.concurrency &&
    a.rate === b.rate && a.queue === b.queue &&
    a.timeoutMs === b.timeoutMs && a.retries === b.retries &&
    a.idempotent === b.idempotent && a.key === b.key &&
    a.maxBodyBytes === b.maxBodyBytes;
}
