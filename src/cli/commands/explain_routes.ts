/** Prints how a version of the routes reached all processes, from logs. */
import { err, ok, type Result } from "neverthrow";
import { explainRoutes } from "../../engine/telemetry/common/routes_explanation.ts";
import type {
  MissingNode,
  RoutesExplanation,
  RoutesStep,
} from "../../engine/telemetry/common/routes_explanation.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { formatInputs, formatLogTime, readLogLines } from "../log_files.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

const HEADINGS = ["time", "delay", "process", "event", "inputs"];

/** The version to explain, and the files of log lines. */
export interface RoutesQuestion {
  readonly versionText: string;
  readonly files: readonly string[];
}

/** Explains a version of the routes; fails if no line names it. */
export function explainRoutesVersion(
  { versionText, files }: RoutesQuestion,
  isJson: boolean,
): Result<void, CliError> {
  const version = Number(versionText);
  if (!Number.isSafeInteger(version) || version < 1) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: `${JSON.stringify(versionText)} is not a version`,
      advice: "Name it in decimal, or in hexadecimal as 0x0c.",
    }));
  }
  return readLogLines(files).andThen((lines) => {
    const explanation = explainRoutes(lines, version);
    if (explanation.steps.length === 0) {
      return err(createNotFoundError(version));
    }
    if (isJson) {
      writeJson(explanation);
    } else {
      printExplanation(explanation);
    }
    return ok(undefined);
  });
}

function createNotFoundError(version: number): CliError {
  return createCliError({
    exitCode: EXIT_CODES.failed,
    message: `No line names version ${version} of the routes`,
    advice: "It was never sent, its lines were left out under load (the " +
      "next line of that event has `leftOut`), or its logs are not among " +
      "the files.",
  });
}

function printExplanation(explanation: RoutesExplanation): void {
  const { version, accepted, steps, missing } = explanation;
  writeLine(`Version ${version} of the routes`);
  writeLine(
    accepted === undefined
      ? "Accepted: no line says so"
      : `Accepted: ${formatLogTime(accepted.timeMs)} at ${accepted.process}`,
  );
  printSteps(steps);
  const { olderReads, otherTexts } = explanation;
  if (olderReads.length > 0) {
    writeLine("\nReads of an older version that began after the acceptance:");
    printSteps(olderReads);
  }
  if (otherTexts.length > 0) {
    writeLine("\nOther texts under this version:");
    printSteps(otherTexts);
  }
  missing.forEach(printMissing);
}

function printSteps(steps: readonly RoutesStep[]): void {
  writeColumns(
    HEADINGS,
    steps.map((step) => [
      formatLogTime(step.timeMs),
      formatDelay(step.delayMs),
      step.process,
      step.event,
      formatInputs(step),
    ]),
  );
}

function printMissing(node: MissingNode): void {
  const { process, inForce, lastLineMs, changes } = node;
  const state = inForce === undefined
    ? "no routes in force"
    : `version ${inForce} in force`;
  const last = formatLogTime(lastLineMs);
  writeLine(`\nNever at ${process}: ${state}, last line at ${last}`);
  writeColumns(
    ["time", "event", "inputs"],
    changes.map((change) => [
      formatLogTime(change.timeMs),
      change.event,
      formatInputs(change),
    ]),
  );
}

function formatDelay(delayMs: number | undefined): string {
  if (delayMs === undefined) {
    return "";
  }
  return delayMs < 0 ? `${delayMs}` : `+${delayMs}`;
}
