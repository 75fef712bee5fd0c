/** `basilpin drain`: stops sending new work to a backend server. */
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { readMessage } from "../operator_client.ts";
import { writeJson, writeLine } from "../output.ts";

/** Registers the `drain` command. */
export function registerDrain(program: Command): void {
  program.command("drain")
    .description("send a backend server no new work")
    .argument("<node>", "id of its node, see basilpin status")
    .addHelpText("after", "\nExample: basilpin drain kenitra-a-custody-1")
    .action(async (node, _options, command) =>
      finishCommand(await drainNode(createContext(command), node))
    );
}

async function drainNode(
  context: CommandContext,
  node: string,
): Promise<Result<void, CliError>> {
  const path = `/drain?node=${encodeURIComponent(node)}`;
  const reply = await context.client.request({ method: "POST", path });
  if (reply.isErr()) {
    return err(reply.error);
  }
  if (reply.value.status !== 202) {
    return err(createCliError({
      exitCode: EXIT_CODES.failed,
      message: readMessage(reply.value),
      advice: "Name a node that basilpin status lists",
    }));
  }
  if (context.isJson) {
    writeJson(reply.value.body);
  } else {
    writeLine(`${node}: draining`);
  }
  return ok(undefined);
}
