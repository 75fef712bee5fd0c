/** Difference between two versions of the table. */
import type { Table, VersionedRow } from "./table_row.ts";

/** Turns the table at `fromVersion` into the one at `toVersion`. */
export interface TableDelta {
  readonly fromVersion: number;
  readonly toVersion: number;
  /** New or changed rows: replaced in place, or appended in this order. */
  readonly put: readonly VersionedRow[];
  /** Kinds whose rows are removed before `put` is applied. */
  readonly removed: readonly string[];
}

/** Creates the delta from one table to another, including the order of rows. */
export function createTableDelta(from: Table, to: Table): TableDelta {
  const previousRows = new Map(from.rows.map((row) => [row.kind, row]));
  const keptCount = countKeptRows(from, to);
  const kept = to.rows.slice(0, keptCount);
  const keptKinds = new Set(kept.map((row) => row.kind));
  const changed = kept.filter((row) =>
    previousRows.get(row.kind)!.version !== row.version
  );
  return {
    fromVersion: from.version,
    toVersion: to.version,
    put: [...changed, ...to.rows.slice(keptCount)],
    removed: from.rows.map((row) => row.kind)
      .filter((kind) => !keptKinds.has(kind)),
  };
}

/** Applies a delta; undefined if `table` isn't at its `fromVersion`. */
export function applyTableDelta(
  table: Table,
  delta: TableDelta,
): Table | undefined {
  if (table.version !== delta.fromVersion) {
    return undefined;
  }
  const removed = new Set(delta.removed);
  const put = new Map(delta.put.map((row) => [row.kind, row]));
  const rows: VersionedRow[] = [];
  for (const row of table.rows) {
    if (!removed.has(row.kind)) {
      rows.push(put.get(row.kind) ?? row);
      put.delete(row.kind);
    }
  }
  return { version: delta.toVersion, rows: [...rows, ...put.values()] };
}

/** Counts the leading rows of `to` that occur in `from` in the same order. */
function countKeptRows(from: Table, to: Table): number {
  const indexByKind = new Map(from.rows.map((row, index) => [row.kind, index]));
  let last = -1;
  let count = 0;
  for (const row of to.rows) {
    const index = indexByKind.get(row.kind);
    if (index === undefined || index < last) {
      break;
    }
    last = index;
    count += 1;
  }
  return count;
}
