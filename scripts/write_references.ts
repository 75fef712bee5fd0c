/**
 * Writes the references of settings and columns into docs/OPERATING.md, between
 * their markers; with `--check` it only says whether the page is up to date.
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { createSettingsReference } from "../src/daemon/settings_reference.ts";
import type { SettingReference } from "../src/daemon/settings_reference.ts";
import { COLUMN_REFERENCE } from "../src/engine/table/common/column_reference.ts";
import { TABLE_COLUMNS } from "../src/engine/table/common/table_row.ts";

const PAGE = "docs/OPERATING.md";

function createTable(
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

function createSettingsTable(settings: readonly SettingReference[]): string {
  return createTable(
    ["key", "must be", "needed", "what it is for"],
    settings.map(({ key, allowed, isOptional, note }) => [
      `\`${key}\``,
      allowed,
      isOptional ? "no" : "yes",
      note,
    ]),
  );
}

function createColumnTable(): string {
  return createTable(
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
    throw new Error(`${PAGE} has no block ${name}`);
  }
  const head = page.slice(0, from + start.length);
  return `${head}\n\n${block}\n\n${page.slice(to)}`;
}

/** Spaces and dashes are the formatter's to choose. */
function normalize(page: string): string {
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
const page = readFileSync(PAGE, "utf8");
const written = [
  ["settings of a node", createSettingsTable(node)],
  ["settings of a control replica", createSettingsTable(control)],
  ["columns", createColumnTable()],
].reduce((text, [name, block]) => replaceBlock(text, name!, block!), page);
if (!process.argv.includes("--check")) {
  writeFileSync(PAGE, written);
} else if (normalize(written) !== normalize(page)) {
  faults.push(`${PAGE} is out of date; run npm run write:references`);
}
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}
