/** Selection of the row for a request, by method and path. */
import type { Table, VersionedRow } from "./table_row.ts";

/** Method and path of the request to match. */
export interface RequestLine {
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
}

/**
 * Selects the most specific row that matches: a literal segment precedes `*`,
 * `*` precedes `**`, and a named method precedes any method.
 */
export function selectRow(
  table: Table,
  request: RequestLine,
): VersionedRow | undefined {
  let best: VersionedRow | undefined;
  let bestSortKey = "";
  for (const row of table.rows) {
    if (!matchRow(row, request)) {
      continue;
    }
    const sortKey = computeSortKey(row);
    if (best === undefined || sortKey < bestSortKey) {
      best = row;
      bestSortKey = sortKey;
    }
  }
  return best;
}

function matchRow(row: VersionedRow, request: RequestLine): boolean {
  return (row.method === "*" || row.method === request.method) &&
    matchPath(row.path, request.path);
}

/** Compares pattern and path segment by segment, without splitting them. */
function matchPath(pattern: string, path: string): boolean {
  let patternAt = findSegmentStart(pattern, 0);
  let pathAt = findSegmentStart(path, 0);
  while (patternAt < pattern.length) {
    const end = findSegmentEnd(pattern, patternAt);
    const next = findSegmentStart(pattern, end);
    if (next === pattern.length && pattern.slice(patternAt, end) === "**") {
      return true;
    }
    const pathEnd = findSegmentEnd(path, pathAt);
    if (pathAt === pathEnd) {
      return false;
    }
    const part = pattern.slice(patternAt, end);
    const isSame = part.length === pathEnd - pathAt &&
      path.startsWith(part, pathAt);
    if (part !== "*" && !isSame) {
      return false;
    }
    patternAt = next;
    pathAt = findSegmentStart(path, pathEnd);
  }
  return pathAt === path.length;
}

/** Returns the index of the next segment; the path's length if there is none. */
function findSegmentStart(path: string, from: number): number {
  let at = from;
  while (path[at] === "/") {
    at += 1;
  }
  return at;
}

function findSegmentEnd(path: string, from: number): number {
  const slash = path.indexOf("/", from);
  return slash < 0 ? path.length : slash;
}

/** Encodes a segment as one letter: the smallest key is the most specific. */
function computeSortKey(row: VersionedRow): string {
  const letters = splitPath(row.path).map((part) =>
    part === "**" ? "z" : part === "*" ? "b" : "a"
  );
  return `${letters.join("")}${row.method === "*" ? "1" : "0"}`;
}

function splitPath(path: string): readonly string[] {
  return path.split("/").filter((part) => part !== "");
}
