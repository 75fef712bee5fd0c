/** `basilpin workspaces`: lists the limits and the demand of workspaces. */
import type { Command } from "commander";
import type { Result } from "neverthrow";
import type { WorkspaceReport } from "../../engine/control/common/workspace_report.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { writeColumns, writeJson } from "../output.ts";
import { fetchStatus } from "./status.ts";

/** Registers the `workspaces` command. */
export function registerWorkspaces(program: Command): void {
  program.command("workspaces")
    .description("workspaces, their limits and what is let in; never a key")
    .addHelpText("after", "\nExample: basilpin workspaces --json")
    .action(async (_options, command) =>
      finishCommand(await showWorkspaces(createContext(command)))
    );
}

async function showWorkspaces(
  context: CommandContext,
): Promise<Result<void, CliError>> {
  const status = await fetchStatus(context);
  return status.map(({ workspaces }) => {
    if (context.isJson) {
      writeJson(workspaces);
    } else {
      writeColumns(
        ["WORKSPACE", "KEYS", "RANK", "LIMIT", "ASKED", "LET IN", "SHARE"],
        workspaces.map(describeWorkspace),
      );
    }
  });
}

function describeWorkspace(report: WorkspaceReport): readonly string[] {
  const { name, keys, rank, ratePerSecond, burst, asked, letIn, share } =
    report;
  const hasLimit = ratePerSecond > 0 || burst > 0;
  return [
    name,
    String(keys),
    String(rank ?? "-"),
    hasLimit ? `${ratePerSecond}/s + ${burst}` : "none",
    String(asked),
    String(letIn),
    `${Math.round(share * 100)}%`,
  ];
}
