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
  if (row.method !== "*" && row.method !== request.method) {
    return false;
  }
  const pattern = splitPath(row.path);
  const path = splitPath(request.path);
  const isOpen = pattern.at(-1) === "**";
  const fixed = isOpen ? pattern.slice(0, -1) : pattern;
  if (isOpen ? path.length < fixed.length : path.length !== fixed.length) {
    return false;
  }
  return fixed.every((part, i) => part === "*" || part === path[i]);
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
