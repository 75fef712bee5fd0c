/** `basilpin status`: lists nodes, control replicas and table versions. */
import type { Command } from "commander";
import type { Result } from "neverthrow";
import type { ClusterReport } from "../../engine/control/common/cluster_report.ts";
import type { ControlReport } from "../../engine/control/common/control_report.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { IN_MEMORY_READ_TIMEOUT_MS } from "../operator_client.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

/** Answer of a control replica to `GET /status`. */
export interface StatusAnswer extends ControlReport {
  readonly cluster: ClusterReport;
  readonly id: string;
  readonly dataCentre: string;
}

/** Registers the `status` command. */
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
): Promise<Result<StatusAnswer, CliError>> {
  const reply = await context.client.request({
    method: "GET",
    path: "/status",
    timeoutMs: IN_MEMORY_READ_TIMEOUT_MS,
  });
  return reply.map(({ body }) => body as StatusAnswer);
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
      ["REPLICA", "ROLE", "TERM", "COMMITTED", "LAST HEARD", "STATE"],
      report.cluster.members.map((member) => [
        member.id,
        member.role,
        String(member.term),
        String(member.commitIndex),
        formatAge(member.lastHeardMs),
        member.isSilent ? "SILENT" : "heard",
      ]),
    );
    writeColumns(
      [
        "NODE",
        "SERVICE",
        "DATA CENTRE",
        "TABLE",
        "HEARD BY",
        "LAST HEARD",
        "STATE",
      ],
      report.nodes.map((node) => [
        node.nodeId,
        node.service,
        node.dataCentre,
        String(node.tableVersion ?? "-"),
        node.heardBy,
        formatAge(node.lastHeardMs),
        describeState(node),
      ]),
    );
  });
}

function describeState(node: StatusAnswer["nodes"][number]): string {
  if (node.isSilent) {
    return "SILENT";
  }
  return node.isDraining ? "draining" : "serving";
}

function formatAge(ageMs: number): string {
  return `${(ageMs / 1_000).toFixed(1)} s`;
}
