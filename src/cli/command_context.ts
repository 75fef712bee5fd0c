/** What every command is given, and how its result ends the process. */
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
  readonly control: string;
  readonly operator: string;
  readonly json: boolean;
}

/** The client and the options of one command. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly isJson: boolean;
}

/** Creates the context from the options given before or after a command. */
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

/** Ends a command: an error is printed with what to do next. */
export function finishCommand(result: Result<void, CliError>): void {
  if (result.isErr()) {
    const { message, advice, exitCode } = result.error;
    process.stderr.write(`${message}\n${advice}\n`);
    process.exitCode = exitCode;
  }
}

/** The name that goes into the history where none is given. */
export function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
}
