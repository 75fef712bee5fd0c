/** Errors of the command line: what went wrong and what to do next. */
import type { ExitCode } from "./exit_codes.ts";

/** An error that ends a command. */
export interface CliError {
  readonly type: "CliError";
  readonly exitCode: ExitCode;
  readonly message: string;
  /** What the operator can do. */
  readonly advice: string;
}

/** Creates a command's error. */
export function createCliError(parts: Omit<CliError, "type">): CliError {
  return { type: "CliError", ...parts };
}
