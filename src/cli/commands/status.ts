/** `basilpin status`: nodes, control replicas, versions in force. */
import type { Command } from "commander";
import type { Result } from "neverthrow";
import type { Announcement } from "../../platform/membership/common/announcement.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

/** A node as a control replica reports it. */
export interface NodeReport extends Announcement {
  readonly tableVersion: number | null;
}

/** What a control replica reports. */
export interface ControlReport {
  readonly id: string;
  readonly dataCentre: string;
  readonly tableVersion: number;
  readonly nodes: readonly NodeReport[];
}

/** Adds the status command. */
export function registerStatus(program: Command): void {
  program.command("status")
    .description("nodes, control replicas and the versions in force")
    .addHelpText("after", "\nExample: basilpin status --json")
    .action(async (_options, command) =>
      finishCommand(await showStatus(createContext(command)))
    );
}

/** Fetches the report of the first replica that answers. */
export async function fetchStatus(
  context: CommandContext,
): Promise<Result<ControlReport, CliError>> {
  const reply = await context.client.ask({ method: "GET", path: "/status" });
  return reply.map(({ body }) => body as ControlReport);
}

async function showStatus(
  context: CommandContext,
): Promise<Result<void, CliError>> {
  const status = await fetchStatus(context);
  return status.map((report) => {
    if (context.isJson) {
      writeJson(report);
      return;
    }
    writeLine(
      `Control replica ${report.id} (${report.dataCentre}): ` +
        `table version ${report.tableVersion}`,
    );
    writeColumns(
      ["NODE", "SERVICE", "DATA CENTRE", "TABLE", "STATE"],
      report.nodes.map((node) => [
        node.nodeId,
        node.service,
        node.dataCentre,
        String(node.tableVersion ?? "-"),
        node.isDraining ? "draining" : "serving",
      ]),
    );
  });
}
