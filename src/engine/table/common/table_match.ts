/** Finds the row of a request by its method and path. */
import type { Table, VersionedRow } from "./table_row.ts";

/** Which request a row is wanted for. */
export interface RequestLine {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
}

/**
 * Selects the most specific row that matches: literal segments go before `*`,
 * `*` before `**`, a named method before any method.
 */
export function selectRow(
  table: Table,
  request: RequestLine,
): VersionedRow | undefined {
  let best: VersionedRow | undefined;
  let bestRank = "";
  for (const row of table.rows) {
    if (!isRowMatch(row, request)) {
      continue;
    }
    const rank = computeRank(row);
    if (best === undefined || rank < bestRank) {
      best = row;
      bestRank = rank;
    }
  }
  return best;
}

function isRowMatch(row: VersionedRow, request: RequestLine): boolean {
  return (row.method === "*" || row.method === request.method) &&
    isPathMatch(row.path, request.path);
}

/** Walks both texts segment by segment, without copying them. */
function isPathMatch(pattern: string, path: string): boolean {
  let at = findSegment(pattern, 0);
  let pathAt = findSegment(path, 0);
  while (at < pattern.length) {
    const end = findSlash(pattern, at);
    const next = findSegment(pattern, end);
    if (next === pattern.length && pattern.slice(at, end) === "**") {
      return true;
    }
    const pathEnd = findSlash(path, pathAt);
    if (pathAt === pathEnd) {
      return false;
    }
    const part = pattern.slice(at, end);
    const isSame = part.length === pathEnd - pathAt &&
      path.startsWith(part, pathAt);
    if (part !== "*" && !isSame) {
      return false;
    }
    at = next;
    pathAt = findSegment(path, pathEnd);
  }
  return pathAt === path.length;
}

/** Finds where the next segment begins; the length where there is none. */
function findSegment(path: string, from: number): number {
  let at = from;
  while (path[at] === "/") {
    at += 1;
  }
  return at;
}

function findSlash(path: string, from: number): number {
  const slash = path.indexOf("/", from);
  return slash < 0 ? path.length : slash;
}

/** One letter a segment, so that the smaller text is the closer match. */
function computeRank(row: VersionedRow): string {
  const letters = splitPath(row.path).map((part) =>
    part === "**" ? "z" : part === "*" ? "b" : "a"
  );
  return `${letters.join("")}${row.method === "*" ? "1" : "0"}`;
}

function splitPath(path: string): readonly string[] {
  return path.split("/").filter((part) => part !== "");
}
