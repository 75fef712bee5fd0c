/** Conversion of the table to and from CSV, the form that operators edit. */
import { parse } from "csv-parse/sync";
import { stringify } from "csv-stringify/sync";
import { err, ok, type Result } from "neverthrow";
import { TABLE_COLUMNS } from "./table_row.ts";
import type { Table } from "./table_row.ts";
import { formatRow, parseRow } from "./table_schema.ts";
import type { BadCell, DraftRow, RowCells } from "./table_schema.ts";

const MAX_FILE_BYTES = 4 * 1024 * 1024;

/** Formats a table as CSV with a header line. */
export function formatTableCsv(table: Table): string {
  const rows = table.rows.map((row) => formatRow(row, row.version));
  return stringify(rows, { header: true, columns: [...TABLE_COLUMNS] });
}

/** Parses a whole file; returns all its rows, or all its invalid cells. */
export function parseTableCsv(
  text: string,
): Result<readonly DraftRow[], readonly BadCell[]> {
  return parseLines(text).andThen((lines) => {
    const badCells: BadCell[] = [];
    const drafts: DraftRow[] = [];
    lines.forEach((cells, index) => {
      parseRow(cells, index + 2).match(
        (draft) => drafts.push(draft),
        (cells) => badCells.push(...cells),
      );
    });
    badCells.push(...findDuplicates(drafts));
    return badCells.length > 0 ? err(badCells) : ok(drafts);
  });
}

function parseLines(
  text: string,
): Result<readonly RowCells[], readonly BadCell[]> {
  if (text.length > MAX_FILE_BYTES) {
    return err([createFileIssue(1, `File is over ${MAX_FILE_BYTES} bytes`)]);
  }
  try {
    const [header, ...lines] = parse(text, {
      bom: true,
      skip_empty_lines: true,
      trim: true,
      relax_column_count: true,
    }) as string[][];
    return checkHeader(header ?? [])
      .andThen(() => checkCellCounts(header!, lines))
      .map(() =>
        lines.map((line) =>
          Object.fromEntries(header!.map((name, i) => [name, line[i]]))
        )
      );
  } catch (error) {
    const lines = (error as { lines?: number }).lines ?? 1;
    return err([createFileIssue(lines, (error as Error).message)]);
  }
}

function checkHeader(
  header: readonly string[],
): Result<void, readonly BadCell[]> {
  const known: readonly string[] = TABLE_COLUMNS;
  const bad: BadCell[] = [];
  for (const name of header) {
    if (!known.includes(name)) {
      bad.push(createFileIssue(1, `Unknown column ${JSON.stringify(name)}`));
    }
  }
  for (const name of TABLE_COLUMNS) {
    const count = header.filter((other) => other === name).length;
    if (count === 0 && name !== "version") {
      bad.push({ line: 1, column: name, reason: "Column is missing" });
    }
    if (count > 1) {
      bad.push({ line: 1, column: name, reason: "Column stands twice" });
    }
  }
  return bad.length > 0 ? err(bad) : ok(undefined);
}

function checkCellCounts(
  header: readonly string[],
  lines: readonly (readonly string[])[],
): Result<void, readonly BadCell[]> {
  const bad: BadCell[] = [];
  lines.forEach((line, index) => {
    if (line.length !== header.length) {
      const reason = `Expected ${header.length} cells; found ${line.length}`;
      bad.push(createFileIssue(index + 2, reason));
    }
  });
  return bad.length > 0 ? err(bad) : ok(undefined);
}

/**
 * Finds rows whose kind, or whose method and path, another one already has.
 * Lines are those of the CSV form, whose first row stands in line 2.
 */
export function findDuplicates(
  drafts: readonly DraftRow[],
): readonly BadCell[] {
  const lineByKind = new Map<string, number>();
  const lineByRoute = new Map<string, number>();
  const bad: BadCell[] = [];
  drafts.forEach(({ row }, index) => {
    const line = index + 2;
    const route = `${row.method} ${row.path}`;
    const first = lineByKind.get(row.kind);
    const sameRoute = lineByRoute.get(route);
    if (first !== undefined) {
      const reason = `Kind ${row.kind} already stands in line ${first}`;
      bad.push({ line, column: "kind", reason });
    } else if (sameRoute !== undefined) {
      const reason = `${route} already stands in line ${sameRoute}`;
      bad.push({ line, column: "path", reason });
    }
    lineByKind.set(row.kind, first ?? line);
    lineByRoute.set(route, sameRoute ?? line);
  });
  return bad;
}

function createFileIssue(line: number, reason: string): BadCell {
  return { line, column: "file", reason };
}
