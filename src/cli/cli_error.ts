/** Errors of the command line. */
import type { ExitCode } from "./exit_codes.ts";

/** Error that ends a command. */
export interface CliError {
  readonly type: "CliError";
  readonly exitCode: ExitCode;
  /** What failed, and why. */
  readonly message: string;
  /** What the operator can do next. */
  readonly advice: string;
}

export function createCliError(parts: Omit<CliError, "type">): CliError {
  return { type: "CliError", ...parts };
}
