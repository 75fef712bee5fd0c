/** Output of commands on standard output. */
import process from "node:process";

/** Prints a value as JSON. */
export function writeJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

/** Prints one line. */
export function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints headings and rows; each column is as wide as its widest cell. */
export function writeColumns(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): void {
  const widths = headings.map((heading, i) =>
    Math.max(heading.length, ...rows.map((row) => row[i]?.length ?? 0))
  );
  for (const row of [headings, ...rows]) {
    const cells = row.map((cell, i) => cell.padEnd(widths[i] ?? 0));
    writeLine(cells.join("  ").trimEnd());
  }
}
