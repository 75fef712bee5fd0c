/** `basilpin quarantine`: requests that end the backend servers that run them. */
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type {
  CrashRow,
  QuarantineOrder,
} from "../../engine/control/common/crash_records.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { readMessage } from "../operator_client.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

const ACTIONS = [
  ["clear", "let a request run again: what is recorded wasn't its fault"],
  ["add", "refuse a request, as if it had ended two backend servers"],
] as const;

/** Registers the `quarantine` command. */
export function registerQuarantine(program: Command): void {
  const group = program.command("quarantine")
    .description("requests that end the backend servers that run them");
  group.command("list")
    .description("what is recorded against requests, by fingerprint")
    .addHelpText("after", "\nExample: basilpin quarantine list --json")
    .action(async (_options, command) =>
      finishCommand(await listRecorded(createContext(command)))
    );
  for (const [action, description] of ACTIONS) {
    group.command(action)
      .description(description)
      .argument("<service>", "service whose backend servers ended")
      .argument("<fingerprint>", "as listed, or as in the line of a refusal")
      .addHelpText(
        "after",
        `\nExample: basilpin quarantine ${action} custody 1c0d5e9fQwMVgfS8R_SxEH`,
      )
      .action(async (service, fingerprint, _options, command) =>
        finishCommand(
          await sendOrder(createContext(command), {
            service,
            fingerprint,
            action,
          }),
        )
      );
  }
}

async function listRecorded(
  context: CommandContext,
): Promise<Result<void, CliError>> {
  const call = { method: "GET", path: "/quarantine" } as const;
  const reply = await context.client.request(call);
  return reply.map(({ body }) => {
    const rows = body as readonly CrashRow[];
    if (context.isJson) {
      writeJson(rows);
    } else {
      writeColumns(
        ["SERVICE", "FINGERPRINT", "VERDICT", "ALONE", "AGE", "ENDED"],
        rows.map(describeRow),
      );
    }
  });
}

function describeRow(row: CrashRow): readonly string[] {
  const { service, fingerprint, verdict, ends, endsAlone, ageMs } = row;
  return [
    service,
    fingerprint,
    verdict,
    String(endsAlone),
    `${Math.round(ageMs / 1_000)} s`,
    ends.join(", "),
  ];
}

async function sendOrder(
  context: CommandContext,
  order: QuarantineOrder,
): Promise<Result<void, CliError>> {
  const reply = await context.client.request({
    method: "POST",
    path: "/quarantine",
    body: order,
  });
  if (reply.isErr()) {
    return err(reply.error);
  }
  if (reply.value.status !== 202) {
    return err(createCliError({
      exitCode: EXIT_CODES.failed,
      message: readMessage(reply.value),
      advice: "Name a service and a fingerprint that the list shows",
    }));
  }
  if (context.isJson) {
    writeJson(reply.value.body);
  } else {
    writeLine(`${order.fingerprint}: ${order.action} ordered`);
  }
  return ok(undefined);
}
