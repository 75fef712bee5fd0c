/** `basilpin timeline`: events over all processes, in order. */
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { compareRecords } from "../../platform/telemetry/common/timeline_event.ts";
import type { TimelineRecord } from "../../platform/telemetry/common/timeline_event.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { writeColumns, writeJson } from "../output.ts";
import { fetchStatus } from "./status.ts";

interface TimelineOptions {
  readonly request?: string;
}

/** Adds the time line command. */
export function registerTimeline(program: Command): void {
  program.command("timeline")
    .description("events over all processes, in order")
    .option("--request <id>", "only the events of one request")
    .addHelpText("after", "\nExample: basilpin timeline --request 3f2a-1")
    .action(async (options, command) =>
      finishCommand(await showTimeline(createContext(command), options))
    );
}

async function showTimeline(
  context: CommandContext,
  options: TimelineOptions,
): Promise<Result<void, CliError>> {
  const merged = await fetchTimeline(context);
  return merged.map((records) => {
    const wanted = records.filter((record) =>
      options.request === undefined ||
      ("requestId" in record.event &&
        record.event.requestId === options.request)
    );
    if (context.isJson) {
      writeJson(wanted);
      return;
    }
    writeColumns(
      ["TIME", "PROCESS", "EVENT", ""],
      wanted.map((record) => [
        `${new Date(record.at.wallMs).toISOString()}+${record.at.counter}`,
        record.process,
        record.event.type,
        describeEvent(record),
      ]),
    );
  });
}

/** Fetches the rings of all processes and merges them. */
export async function fetchTimeline(
  context: CommandContext,
): Promise<Result<readonly TimelineRecord[], CliError>> {
  const call = { method: "GET", path: "/timeline" } as const;
  const status = await fetchStatus(context);
  if (status.isErr()) {
    return err(status.error);
  }
  const control = await context.client.ask(call);
  if (control.isErr()) {
    return err(control.error);
  }
  const replies = await Promise.all(
    status.value.nodes.map((node) =>
      context.client.askOne(node.operator, call)
    ),
  );
  const rings = replies.map((reply) =>
    reply.isOk() ? reply.value.body as readonly TimelineRecord[] : []
  );
  rings.push(control.value.body as readonly TimelineRecord[]);
  return ok(rings.flat().toSorted(compareRecords));
}

function describeEvent(record: TimelineRecord): string {
  return Object.entries(record.event)
    .filter(([name]) => name !== "type")
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
