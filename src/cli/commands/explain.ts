/** `basilpin explain`: explains one request, or one version of the routes. */
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
import { formatInputs, formatLogTime, readLogLines } from "../log_files.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";
import { explainRoutesVersion } from "./explain_routes.ts";

interface ExplainOptions {
  readonly routesVersion?: string;
}

/** Registers the `explain` command. */
export function registerExplain(program: Command): void {
  program.command("explain")
    .description("why a request was refused or failed, from collected logs")
    .argument("<id>", "id of the request; not with --routes-version")
    .argument("[logs...]", "files of log lines, of any processes")
    .option(
      "--routes-version <version>",
      "how this version of the routes reached all processes",
    )
    .addHelpText(
      "after",
      "\nExample: basilpin explain 9c41d07b logs/*.log" +
        "\n         basilpin explain --routes-version 12 logs/*.log",
    )
    .action((first, others, options: ExplainOptions, command) => {
      const { isJson } = createContext(command);
      const { routesVersion: versionText } = options;
      const files = [first, ...others];
      return finishCommand(
        versionText === undefined
          ? explain(first, others, isJson)
          : explainRoutesVersion({ versionText, files }, isJson),
      );
    });
}

function explain(
  requestId: string,
  files: readonly string[],
  isJson: boolean,
): Result<void, CliError> {
  if (files.length === 0) {
    return err(createNoFilesError());
  }
  return readLogLines(files).andThen((lines) => {
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

function createNoFilesError(): CliError {
  return createCliError({
    exitCode: EXIT_CODES.usage,
    message: "No files of log lines are named",
    advice: "Name the request and then the files; see basilpin explain --help.",
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
  const { timeMs, process, event } = record;
  return [formatLogTime(timeMs), mark, process, event, formatInputs(record)];
}
