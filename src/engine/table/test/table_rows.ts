/** Rows for tests. */
import type { TableRow } from "../common/table_row.ts";

/** Creates a row; defaults to an idempotent lookup. */
export function createRow(change: Partial<TableRow> = {}): TableRow {
  return {
    kind: "lookup",
    service: "catalog",
    method: "GET",
    path: "/prices/*",
    weight: 1,
    importance: 4,
    concurrency: 50,
    rate: 1_000,
    queue: 10,
    timeoutMs: 1_000,
    retries: 3,
    idempotent: true,
    key: "none",
    maxBodyBytes: 1_024,
    ...change,
  };
}
