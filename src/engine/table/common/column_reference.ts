/** Reference of the table's columns, for operators. */
import type { TableColumn } from "./table_row.ts";

/** Description of a column; the texts appear in the operators' reference. */
export interface ColumnReference {
  readonly column: TableColumn;
  readonly allowed: string;
  readonly effect: string;
  readonly example: string;
}

/** All columns, in the order of the CSV form. */
export const COLUMN_REFERENCE: readonly ColumnReference[] = [
  {
    column: "kind",
    allowed: "lower-case letters, digits, - or _, at most 64; unique",
    effect: "Names the kind of request in logs, metrics and errors",
    example: "custody-transfer",
  },
  {
    column: "service",
    allowed: "as kind",
    effect: "Service whose backend servers run it",
    example: "custody",
  },
  {
    column: "method",
    allowed: "GET, HEAD, POST, PUT, PATCH, DELETE or *",
    effect: "HTTP method that it matches; a named one goes before *",
    example: "POST",
  },
  {
    column: "path",
    allowed: "path pattern: * is one segment, a last /** any rest",
    effect: "Path that it matches; the closest pattern wins",
    example: "/transfers",
  },
  {
    column: "weight",
    allowed: "0.01 to 1000",
    effect: "Share of the backend server among kinds of one importance",
    example: "4",
  },
  {
    column: "importance",
    allowed: "0 to 9",
    effect: "Under overload lower ones are refused first; 9 is refused last",
    example: "9",
  },
  {
    column: "concurrency",
    allowed: "1 to 100000 requests",
    effect: "Most of the kind in progress at one backend server",
    example: "70",
  },
  {
    column: "rate",
    allowed: "0.01 to 1000000 requests a second",
    effect: "Most of the kind a second at one backend server",
    example: "1000",
  },
  {
    column: "queue",
    allowed: "0 to 100000 requests",
    effect: "Most of the kind waiting at one backend server",
    example: "200",
  },
  {
    column: "timeout_ms",
    allowed: "1 to 3600000 ms",
    effect: "Time that a request may take, with all calls made for it",
    example: "5000",
  },
  {
    column: "retries",
    allowed: "0 to 20",
    effect: "Retries over the whole call tree of one request, however deep",
    example: "2",
  },
  {
    column: "idempotent",
    allowed: "yes or no",
    effect: "no: retried only where it provably did not run",
    example: "no",
  },
  {
    column: "key",
    allowed: "none, optional or required",
    effect: "Whether an Idempotency-Key makes it run at most once; " +
      "required: refused without one",
    example: "required",
  },
  {
    column: "max_body_bytes",
    allowed: "0 to 1073741824 bytes",
    effect: "Larger request bodies are refused with 413",
    example: "65536",
  },
  {
    column: "version",
    allowed: "as table get prints it; empty for a new row",
    effect: "Guards against overwriting somebody else's edit",
    example: "12",
  },
];
