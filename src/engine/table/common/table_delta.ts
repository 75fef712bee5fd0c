/** What changed between two versions of the table. */
import type { Table, VersionedRow } from "./table_row.ts";

/** Turns the table at `fromVersion` into the one at `toVersion`. */
export interface TableDelta {
  readonly fromVersion: number;
  readonly toVersion: number;
  /** Rows that are new or changed: in place, else at the end in this order. */
  readonly put: readonly VersionedRow[];
  /** Kinds that are taken out before the rows are put. */
  readonly removed: readonly string[];
}

/** Creates the delta that leads from one table to another, order included. */
export function createTableDelta(from: Table, to: Table): TableDelta {
  const before = new Map(from.rows.map((row) => [row.kind, row]));
  const keptCount = countKept(from, to);
  const kept = to.rows.slice(0, keptCount);
  const keptKinds = new Set(kept.map((row) => row.kind));
  const changed = kept.filter((row) =>
    before.get(row.kind)!.version !== row.version
  );
  return {
    fromVersion: from.version,
    toVersion: to.version,
    put: [...changed, ...to.rows.slice(keptCount)],
    removed: from.rows.map((row) => row.kind)
      .filter((kind) => !keptKinds.has(kind)),
  };
}

/** Applies a delta; undefined where `table` isn't at its `fromVersion`. */
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

/** Length of the head of `to` whose rows stand in `from` in the same order. */
function countKept(from: Table, to: Table): number {
  const position = new Map(from.rows.map((row, index) => [row.kind, index]));
  let last = -1;
  let count = 0;
  for (const row of to.rows) {
    const index = position.get(row.kind);
    if (index === undefined || index < last) {
      break;
    }
    last = index;
    count += 1;
  }
  return count;
}
