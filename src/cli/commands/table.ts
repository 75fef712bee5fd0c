/** `basilpin table`: prints and edits the table, and lists its history. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  formatTableCsv,
  parseTableCsv,
} from "../../engine/table/common/table_csv.ts";
import { TABLE_COLUMNS } from "../../engine/table/common/table_row.ts";
import type { Table } from "../../engine/table/common/table_row.ts";
import type {
  EditOutcome,
  HistoryEntry,
} from "../../engine/table/common/table_reducer.ts";
import { formatRow } from "../../engine/table/common/table_schema.ts";
import type { BadCell } from "../../engine/table/common/table_schema.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { readMessage } from "../operator_client.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";
import { waitInForce } from "./wait_in_force.ts";

interface EditOptions {
  /** Whether to return only once all live nodes have confirmed the edit. */
  readonly wait?: boolean;
  /** Id of an earlier edit to send again; a new id by default. */
  readonly editId?: string;
}

/** Registers the `table` commands. */
export function registerTable(program: Command): void {
  const table = program.command("table").description("the operators' table");
  table.command("get")
    .description("print the table as CSV")
    .addHelpText("after", "\nExample: basilpin table get > table.csv")
    .action(async (_options, command) =>
      finishCommand(await getTable(createContext(command)))
    );
  addEditOptions(
    table.command("apply")
      .description("replace the whole table by a CSV file, in one edit")
      .argument("<file>", "CSV file, or - for standard input")
      .addHelpText("after", "\nExample: basilpin table apply table.csv --wait"),
  ).action(async (file, options, command) =>
    finishCommand(await applyFile(createContext(command), file, options))
  );
  addEditOptions(
    table.command("edit")
      .description("change cells of one row")
      .argument("<kind>", "kind of the row")
      .argument("<cells...>", "column=value")
      .addHelpText(
        "after",
        "\nExample: basilpin table edit lookup concurrency=40 --wait",
      ),
  ).action(async (kind, cells, options, command) =>
    finishCommand(
      await changeRow(createContext(command), { kind, cells, options }),
    )
  );
  table.command("history")
    .description("list the accepted edits, newest last")
    .addHelpText("after", "\nExample: basilpin table history --json")
    .action(async (_options, command) =>
      finishCommand(await listHistory(createContext(command)))
    );
}

function addEditOptions(command: Command): Command {
  return command
    .option("--wait", "return once every live node has confirmed the edit")
    .option("--edit-id <id>", "id of the edit, to send it again");
}

async function getTable(
  context: CommandContext,
): Promise<Result<void, CliError>> {
  const reply = await fetchTable(context);
  return reply.map((table) =>
    context.isJson
      ? writeJson(table)
      : void process.stdout.write(formatTableCsv(table))
  );
}

async function applyFile(
  context: CommandContext,
  file: string,
  options: EditOptions,
): Promise<Result<void, CliError>> {
  const text = readText(file);
  if (text.isErr()) {
    return err(text.error);
  }
  const drafts = parseTableCsv(text.value);
  if (drafts.isErr()) {
    return err(createFileError(file, drafts.error));
  }
  const rows = drafts.value.map((draft) =>
    formatRow(draft.row, draft.fromVersion)
  );
  return await sendEdit(context, { type: "ReplaceRows", rows }, options);
}

async function changeRow(
  context: CommandContext,
  edit: {
    readonly kind: string;
    readonly cells: readonly string[];
    readonly options: EditOptions;
  },
): Promise<Result<void, CliError>> {
  const { kind, cells, options } = edit;
  const table = await fetchTable(context);
  if (table.isErr()) {
    return err(table.error);
  }
  const row = table.value.rows.find((candidate) => candidate.kind === kind);
  if (row === undefined) {
    const kinds = table.value.rows.map((candidate) => candidate.kind).join(
      ", ",
    );
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: `No row ${JSON.stringify(kind)}`,
      advice: `Choose one of: ${kinds}`,
    }));
  }
  const changes = parseCells(cells);
  if (changes.isErr()) {
    return err(changes.error);
  }
  const changed = { ...formatRow(row, row.version), ...changes.value };
  return await sendEdit(context, { type: "PutRow", cells: changed }, options);
}

async function listHistory(
  context: CommandContext,
): Promise<Result<void, CliError>> {
  const call = { method: "GET", path: "/table/history" } as const;
  const reply = await context.client.request(call);
  return reply.map(({ body }) => {
    const entries = body as readonly HistoryEntry[];
    if (context.isJson) {
      writeJson(entries);
      return;
    }
    writeColumns(
      ["VERSION", "WHEN", "WHO", "CHANGED", "REMOVED"],
      entries.map((entry) => [
        String(entry.version),
        new Date(entry.atMs).toISOString(),
        entry.operator,
        entry.put.join(" ") || "-",
        entry.removed.join(" ") || "-",
      ]),
    );
  });
}

async function sendEdit(
  context: CommandContext,
  change: unknown,
  options: EditOptions,
): Promise<Result<void, CliError>> {
  const editId = options.editId ?? randomUUID();
  const body = { editId, change };
  const call = { method: "POST", path: "/table/edits", body } as const;
  const reply = await context.client.request(call);
  if (reply.isErr()) {
    return err(addRetryAdvice(reply.error, editId));
  }
  if (reply.value.status === 400) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: readMessage(reply.value),
      advice: "Mend the cells named above; nothing was changed",
    }));
  }
  const outcome = reply.value.body as EditOutcome;
  if (outcome.type === "EditConflicted") {
    return err(createConflictError(outcome));
  }
  const isNew = outcome.type === "EditAccepted";
  const resultText = isNew ? "accepted" : "no change";
  if (context.isJson) {
    writeJson({ editId, ...outcome });
  } else {
    writeLine(`Version ${outcome.version}: ${resultText}`);
  }
  return options.wait === true
    ? await waitInForce(context, outcome.version)
    : ok(undefined);
}

/** Adds how to retry if the edit may have arrived with unknown outcome. */
function addRetryAdvice(error: CliError, editId: string): CliError {
  const { exitCode, advice } = error;
  return exitCode === EXIT_CODES.unreachable
    ? {
      ...error,
      advice: `${advice}; then send it again with --edit-id ${editId}: ` +
        "it is applied once",
    }
    : error;
}

async function fetchTable(
  context: CommandContext,
): Promise<Result<Table, CliError>> {
  const reply = await context.client.request({ method: "GET", path: "/table" });
  return reply.map(({ body }) => body as Table);
}

function readText(file: string): Result<string, CliError> {
  try {
    return ok(readFileSync(file === "-" ? 0 : file, "utf8"));
  } catch (error) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: `Can't read ${file}: ${(error as Error).message}`,
      advice: "Name a CSV file as basilpin table get prints it",
    }));
  }
}

function parseCells(
  cells: readonly string[],
): Result<Readonly<Record<string, string>>, CliError> {
  const columns: readonly string[] = TABLE_COLUMNS;
  const changes: Record<string, string> = {};
  for (const cell of cells) {
    const separatorIndex = cell.indexOf("=");
    const column = cell.slice(0, Math.max(0, separatorIndex));
    if (!columns.includes(column) || column === "version") {
      return err(createCliError({
        exitCode: EXIT_CODES.usage,
        message: `${JSON.stringify(cell)} is not column=value`,
        advice: `Columns are: ${TABLE_COLUMNS.slice(0, -1).join(", ")}`,
      }));
    }
    changes[column] = cell.slice(separatorIndex + 1);
  }
  return ok(changes);
}

function createFileError(file: string, badCells: readonly BadCell[]): CliError {
  const lines = badCells.map((cell) =>
    `${file}:${cell.line}: ${cell.column}: ${cell.reason}`
  );
  return createCliError({
    exitCode: EXIT_CODES.usage,
    message: lines.join("\n"),
    advice: "Mend the cells named above; nothing was changed",
  });
}

function createConflictError(
  outcome: Extract<EditOutcome, { type: "EditConflicted" }>,
): CliError {
  const lines = outcome.conflicts.map((conflict) => {
    const rowState = conflict.current === undefined
      ? "is gone"
      : `is at version ${conflict.current.version}`;
    return `Row ${conflict.kind} ${rowState}, changed by ${conflict.wonBy}; ` +
      `this edit was made from version ${conflict.fromVersion}`;
  });
  return createCliError({
    exitCode: EXIT_CODES.conflict,
    message: lines.join("\n"),
    advice: "Nothing was changed; get the table anew and make the edit again",
  });
}
