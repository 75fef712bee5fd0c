/** `basilpin explain`: explains the outcome of one request from logs. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { explainRequest } from "../../engine/telemetry/common/explanation.ts";
import type {
  Explanation,
  LogRecord,
} from "../../engine/telemetry/common/explanation.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

/** Registers the `explain` command. */
export function registerExplain(program: Command): void {
  program.command("explain")
    .description("why a request was refused or failed, from collected logs")
    .argument("<request-id>", "id that the caller sent")
    .argument("<logs...>", "files of log lines, of any processes")
    .addHelpText("after", "\nExample: basilpin explain 9c41d07b logs/*.log")
    .action((requestId, logs, _options, command) =>
      finishCommand(
        explain(requestId, logs, createContext(command).isJson),
      )
    );
}

function explain(
  requestId: string,
  files: readonly string[],
  isJson: boolean,
): Result<void, CliError> {
  return readLines(files).andThen((lines) => {
    const explanation = explainRequest(lines, requestId);
    if (explanation.decisions.length === 0) {
      return err(createNotFoundError(requestId));
    }
    if (isJson) {
      writeJson(explanation);
    } else {
      printExplanation(explanation);
    }
    return ok(undefined);
  });
}

function createNotFoundError(requestId: string): CliError {
  return createCliError({
    exitCode: EXIT_CODES.failed,
    message: `No line names the request ${requestId}`,
    advice: "It was answered, its lines were left out under load (the next " +
      "line of that event has `leftOut`), or its logs are not among the files.",
  });
}

function readLines(
  files: readonly string[],
): Result<readonly string[], CliError> {
  try {
    return ok(
      files.flatMap((file) => readFileSync(file, "utf8").split("\n")),
    );
  } catch (error) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: (error as Error).message,
      advice: "Name files that can be read.",
    }));
  }
}

function printExplanation(explanation: Explanation): void {
  const { requestId, decisions, changes, cause } = explanation;
  writeLine(`Request ${requestId}`);
  if (cause !== undefined) {
    const reason = String(cause.inputs["reason"] ?? "no reason given");
    writeLine(`Cause: ${reason} (${cause.event} at ${cause.process})`);
  }
  const decisionSet = new Set(decisions);
  const records = [...decisions, ...changes]
    .sort((a, b) => a.timeMs - b.timeMs);
  writeColumns(
    ["time", "", "process", "event", "inputs"],
    records.map((record) =>
      createRow(record, decisionSet.has(record) ? "*" : "")
    ),
  );
}

function createRow(record: LogRecord, mark: string): readonly string[] {
  const { timeMs, process, event, inputs } = record;
  const inputTexts = Object.entries(inputs)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  const time = new Date(timeMs).toISOString().slice(11, 23);
  return [time, mark, process, event, inputTexts.join(" ")];
}

function formatValue(value: unknown): string {
  return typeof value === "number" && !Number.isInteger(value)
    ? value.toFixed(2)
    : JSON.stringify(value) ?? "none";
}
