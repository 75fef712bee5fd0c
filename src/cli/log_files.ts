/** Reads files of log lines, and formats their records as rows. */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { LogRecord } from "../engine/telemetry/common/explanation.ts";
import { createCliError } from "./cli_error.ts";
import type { CliError } from "./cli_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Reads the lines of all files; the error names the file that can't be read. */
export function readLogLines(
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

/** Formats the time of day of a wall clock in milliseconds, in UTC. */
export function formatLogTime(timeMs: number): string {
  return new Date(timeMs).toISOString().slice(11, 23);
}

/** Formats the fields of a record as `name=value`, separated by spaces. */
export function formatInputs({ inputs }: LogRecord): string {
  return Object.entries(inputs)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
}

function formatValue(value: unknown): string {
  return typeof value === "number" && !Number.isInteger(value)
    ? value.toFixed(2)
    : JSON.stringify(value) ?? "none";
}
