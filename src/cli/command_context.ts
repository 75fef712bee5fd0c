/** Context that every command gets, and the handling of its result. */
import { userInfo } from "node:os";
import process from "node:process";
import type { Command } from "commander";
import type { Result } from "neverthrow";
import type { CliError } from "./cli_error.ts";
import { readAccess } from "./operator_access.ts";
import type { AccessOptions } from "./operator_access.ts";
import { OperatorClient } from "./operator_client.ts";

/** Options that all commands share. */
export interface GlobalOptions extends AccessOptions {
  /** Operator addresses of the control replicas, separated by commas. */
  readonly control: string;
  /** Name of the operator, sent with each request. */
  readonly operator: string;
  readonly json: boolean;
}

/** Client and output format of one command. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly isJson: boolean;
}

/** Creates the context from options before or after the command name. */
export function createContext(command: Command): CommandContext {
  const options = command.optsWithGlobals<GlobalOptions>();
  const replicas = options.control.split(",").map((part) => part.trim());
  const { operator } = options;
  const access = readAccess(options, process.env["BASILPIN_TOKEN"]);
  return {
    client: new OperatorClient({ replicas, operator, access }),
    isJson: options.json === true,
  };
}

/** Prints the error of a failed command and sets the exit code. */
export function finishCommand(result: Result<void, CliError>): void {
  if (result.isErr()) {
    const { message, advice, exitCode } = result.error;
    process.stderr.write(`${message}\n${advice}\n`);
    process.exitCode = exitCode;
  }
}

/** Reads the name of the current user, the default of `--operator`. */
export function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
}
