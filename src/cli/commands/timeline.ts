/** `basilpin timeline`: shows the events of all processes in causal order. */
import { writeFileSync } from "node:fs";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { compareRecords } from "../../engine/telemetry/common/timeline_event.ts";
import type { TimelineRecord } from "../../engine/telemetry/common/timeline_event.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { IN_MEMORY_READ_TIMEOUT_MS } from "../operator_client.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";
import { createTimelinePage } from "../timeline_page.ts";
import { fetchStatus } from "./status.ts";

interface TimelineOptions {
  /** Id of the only request to show. */
  readonly request?: string;
  /** Path of the HTML file to write instead of printing. */
  readonly html?: string;
}

/** Registers the `timeline` command. */
export function registerTimeline(program: Command): void {
  program.command("timeline")
    .description("events over all processes, in order")
    .option("--request <id>", "only the events of one request")
    .option("--html <file>", "write one page to look at in a browser")
    .addHelpText("after", "\nExample: basilpin timeline --request 3f2a-1")
    .action(async (options, command) =>
      finishCommand(await showTimeline(createContext(command), options))
    );
}

async function showTimeline(
  context: CommandContext,
  options: TimelineOptions,
): Promise<Result<void, CliError>> {
  const timeline = await fetchTimeline(context);
  return timeline.andThen((records) => {
    const selected = records.filter((record) =>
      options.request === undefined ||
      ("requestId" in record.event &&
        record.event.requestId === options.request)
    );
    if (options.html !== undefined) {
      return writePage(options.html, createTimelinePage(selected));
    }
    if (context.isJson) {
      writeJson(selected);
      return ok(undefined);
    }
    writeColumns(
      ["TIME", "PROCESS", "EVENT", ""],
      selected.map((record) => [
        `${new Date(record.at.wallMs).toISOString()}+${record.at.counter}`,
        record.process,
        record.event.type,
        describeEvent(record),
      ]),
    );
    return ok(undefined);
  });
}

function writePage(file: string, page: string): Result<void, CliError> {
  try {
    writeFileSync(file, page);
  } catch (error) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: `Can't write ${file}: ${(error as Error).message}`,
      advice: "Name a file in a folder that you may write to",
    }));
  }
  writeLine(`Written to ${file}`);
  return ok(undefined);
}

/**
 * Fetches the event buffers of all processes and merges them in causal order.
 * Processes that don't answer are omitted.
 */
export async function fetchTimeline(
  context: CommandContext,
): Promise<Result<readonly TimelineRecord[], CliError>> {
  const call = {
    method: "GET",
    path: "/timeline",
    timeoutMs: IN_MEMORY_READ_TIMEOUT_MS,
  } as const;
  const status = await fetchStatus(context);
  if (status.isErr()) {
    return err(status.error);
  }
  const addresses = new Set([
    ...context.client.replicas,
    ...status.value.nodes.map((node) => node.operator),
  ]);
  const replies = await Promise.all(
    [...addresses].map((address) => context.client.requestFrom(address, call)),
  );
  const buffers = replies.map((reply) =>
    reply.isOk() ? reply.value.body as readonly TimelineRecord[] : []
  );
  return ok(buffers.flat().toSorted(compareRecords));
}

function describeEvent(record: TimelineRecord): string {
  return Object.entries(record.event)
    .filter(([name]) => name !== "type")
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
