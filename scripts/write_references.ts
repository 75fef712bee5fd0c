/**
 * Writes the reference tables of settings and columns into docs/OPERATING.md,
 * between their markers. With `--check` it only checks that they are current.
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { createSettingsReference } from "../src/daemon/settings_reference.ts";
import type { SettingReference } from "../src/daemon/settings_reference.ts";
import { COLUMN_REFERENCE } from "../src/engine/table/common/column_reference.ts";
import { TABLE_COLUMNS } from "../src/engine/table/common/table_row.ts";

const OPERATING_FILE = "docs/OPERATING.md";

function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [headings, headings.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.map(escapeCell).join(" | ")} |`);
  return lines.join("\n");
}

function escapeCell(text: string): string {
  return text.replaceAll("|", "\\|").replaceAll("*", "\\*");
}

function formatSettingsTable(settings: readonly SettingReference[]): string {
  return formatTable(
    ["key", "must be", "needed", "what it is for"],
    settings.map(({ key, allowed, isOptional, note }) => [
      `\`${key}\``,
      allowed,
      isOptional ? "no" : "yes",
      note,
    ]),
  );
}

function formatColumnTable(): string {
  return formatTable(
    ["column", "unit and range", "effect", "example"],
    COLUMN_REFERENCE.map(({ column, allowed, effect, example }) => [
      `\`${column}\``,
      allowed,
      effect,
      `\`${example}\``,
    ]),
  );
}

function replaceBlock(page: string, name: string, block: string): string {
  const start = `<!-- begin ${name} -->`;
  const end = `<!-- end ${name} -->`;
  const from = page.indexOf(start);
  const to = page.indexOf(end);
  if (from < 0 || to < from) {
    throw new Error(`${OPERATING_FILE} has no block ${name}`);
  }
  const head = page.slice(0, from + start.length);
  return `${head}\n\n${block}\n\n${page.slice(to)}`;
}

/** Collapses spaces and dashes, whose number depends on the formatter. */
function normalizeSpacing(page: string): string {
  return page.replace(/ +/g, " ").replace(/-{3,}/g, "---");
}

const { node, control } = createSettingsReference();
const faults = [...node, ...control]
  .filter(({ note }) => note === "")
  .map(({ key }) => `Setting ${key} has no note in settings_reference.ts`);
const columns = COLUMN_REFERENCE.map(({ column }) => column);
if (columns.join() !== TABLE_COLUMNS.join()) {
  faults.push("column_reference.ts doesn't list the columns in order");
}
const page = readFileSync(OPERATING_FILE, "utf8");
const updatedPage = [
  ["settings of a node", formatSettingsTable(node)],
  ["settings of a control replica", formatSettingsTable(control)],
  ["columns", formatColumnTable()],
].reduce((text, [name, block]) => replaceBlock(text, name!, block!), page);
if (!process.argv.includes("--check")) {
  writeFileSync(OPERATING_FILE, updatedPage);
} else if (normalizeSpacing(updatedPage) !== normalizeSpacing(page)) {
  faults.push(`${OPERATING_FILE} is out of date; run npm run write:references`);
}
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}
