/** Validation of the table's cells, and the position of invalid ones. */
import * as v from "valibot";
import { err, ok, type Result } from "neverthrow";
import { TABLE_COLUMNS, type TableColumn } from "./table_row.ts";
import type { TableRow } from "./table_row.ts";

/** An invalid cell; `file` if the whole line or file is invalid. */
export interface BadCell {
  /** Line of the file; the header is line 1. */
  readonly line: number;
  readonly column: TableColumn | "file";
  readonly reason: string;
}

/** The cells of one line, by column name. */
export type RowCells = Readonly<Record<string, string | undefined>>;

/** A row, and the version of it that the operator saw (0: a new row). */
export interface DraftRow {
  readonly row: TableRow;
  readonly fromVersion: number;
}

const METHODS = ["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;
const NAME_PATTERN = /^[a-z][a-z0-9_-]{0,63}$/;
const PATH_PATTERN = /^(\/(\*|[A-Za-z0-9._~%@:+-]+))*(\/|\/\*\*)?$/;
const MAX_PATH_LENGTH = 256;

function createNumberCell(min: number, max: number, isInteger: boolean) {
  const range = `${min} to ${max}`;
  const noun = isInteger ? "whole number" : "number";
  return v.pipe(
    v.string(),
    v.regex(/^-?\d+(\.\d+)?$/, `Expected a ${noun} from ${range}`),
    v.transform(Number),
    v.check(
      (n) => n >= min && n <= max && (!isInteger || Number.isInteger(n)),
      `Expected a ${noun} from ${range}`,
    ),
  );
}

function createNameCell(noun: string) {
  const rule = "lower-case letters, digits, - or _, first a letter, at most 64";
  return v.pipe(
    v.string(),
    v.regex(NAME_PATTERN, `Expected a ${noun}: ${rule}`),
  );
}

const ROW_CELLS = v.object({
  kind: createNameCell("kind"),
  service: createNameCell("service"),
  method: v.picklist(METHODS, `Expected one of ${METHODS.join(", ")}`),
  path: v.pipe(
    v.string(),
    v.maxLength(MAX_PATH_LENGTH, `Expected at most ${MAX_PATH_LENGTH} bytes`),
    v.regex(/^\//, "Expected a path that begins with /"),
    v.regex(
      PATH_PATTERN,
      "Expected a path pattern like /bales/* or /photos/**",
    ),
  ),
  weight: createNumberCell(0.01, 1000, false),
  importance: createNumberCell(0, 9, true),
  concurrency: createNumberCell(1, 100_000, true),
  rate: createNumberCell(0.01, 1_000_000, false),
  queue: createNumberCell(0, 100_000, true),
  timeout_ms: createNumberCell(1, 3_600_000, true),
  retries: createNumberCell(0, 20, true),
  idempotent: v.picklist(["yes", "no"], "Expected yes or no"),
  key: v.picklist(
    ["none", "optional", "required"],
    "Expected none, optional or required",
  ),
  max_body_bytes: createNumberCell(0, 1_073_741_824, true),
  version: createNumberCell(0, Number.MAX_SAFE_INTEGER, true),
});

/** Validates the cells of one line; an empty `version` means a new row. */
export function parseRow(
  cells: RowCells,
  line: number,
): Result<DraftRow, readonly BadCell[]> {
  const version = cells["version"] || "0";
  const parsed = v.safeParse(ROW_CELLS, { ...cells, version });
  if (!parsed.success) {
    return err(parsed.issues.map((issue) => createBadCell(issue, line)));
  }
  const cell = parsed.output;
  return ok({
    fromVersion: cell.version,
    row: {
      kind: cell.kind,
      service: cell.service,
      method: cell.method,
      path: cell.path,
      weight: cell.weight,
      importance: cell.importance,
      concurrency: cell.concurrency,
      rate: cell.rate,
      queue: cell.queue,
      timeoutMs: cell.timeout_ms,
      retries: cell.retries,
      idempotent: cell.idempotent === "yes",
      key: cell.key,
      maxBodyBytes: cell.max_body_bytes,
    },
  });
}

/** Formats a row as cells by column name; the reverse of `parseRow`. */
export function formatRow(
  row: TableRow,
  version: number,
): Readonly<Record<TableColumn, string>> {
  return {
    kind: row.kind,
    service: row.service,
    method: row.method,
    path: row.path,
    weight: String(row.weight),
    importance: String(row.importance),
    concurrency: String(row.concurrency),
    rate: String(row.rate),
    queue: String(row.queue),
    timeout_ms: String(row.timeoutMs),
    retries: String(row.retries),
    idempotent: row.idempotent ? "yes" : "no",
    key: row.key,
    max_body_bytes: String(row.maxBodyBytes),
    version: String(version),
  };
}

function createBadCell(
  issue: v.BaseIssue<unknown>,
  line: number,
): BadCell {
  const name = String(issue.path?.[0]?.key ?? "file");
  const column = TABLE_COLUMNS.find((known) => known === name) ?? "file";
  const received = issue.input === undefined
    ? "nothing"
    : JSON.stringify(issue.input);
  return { line, column, reason: `${issue.message}; found ${received}` };
}
