/** `basilpin trace`: validates and replays recorded traces. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  compareOutcomes,
  replayTrace,
} from "../../engine/trace/common/replay.ts";
import { parseTrace } from "../../engine/trace/common/trace_format.ts";
import type {
  ControlOutcome,
  Trace,
  TraceOutcome,
} from "../../engine/trace/common/trace_format.ts";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import { createContext, finishCommand } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { writeColumns, writeJson, writeLine } from "../output.ts";

/** Registers the `trace` commands. */
export function registerTrace(program: Command): void {
  const trace = program.command("trace")
    .description("recordings of the events of one process");
  trace.command("check")
    .description("check the form of a recording")
    .argument("<file>", "recording, JSON lines")
    .addHelpText("after", "\nExample: basilpin trace check node.trace")
    .action((file, _options, command) =>
      finishCommand(checkTrace(file, createContext(command).isJson))
    );
  trace.command("replay")
    .description("run the reducer over a recording and compare the outcome")
    .argument("<file>", "recording, JSON lines")
    .addHelpText("after", "\nExample: basilpin trace replay node.trace --json")
    .action((file, _options, command) =>
      finishCommand(replayFile(file, createContext(command).isJson))
    );
}

function checkTrace(file: string, isJson: boolean): Result<void, CliError> {
  return readTrace(file).map(({ header, events, expected }) => {
    const summary = {
      version: header.version,
      process: header.role === "node"
        ? header.self.nodeId
        : header.start.cluster.self,
      events: events.length,
      hasOutcome: expected !== undefined,
    };
    if (isJson) {
      writeJson(summary);
      return;
    }
    const outcomeText = summary.hasOutcome ? "a stated outcome" : "no outcome";
    writeLine(
      `${file}: version ${summary.version}, ${summary.events} events of ` +
        `${summary.process}, ${outcomeText}`,
    );
  });
}

function replayFile(file: string, isJson: boolean): Result<void, CliError> {
  return readTrace(file).andThen((trace) => {
    const { outcome } = replayTrace(trace);
    if (isJson) {
      writeJson(outcome);
    } else {
      printOutcome(outcome);
    }
    return compareWithExpected(file, trace, outcome);
  });
}

function compareWithExpected(
  file: string,
  trace: Trace,
  outcome: TraceOutcome,
): Result<void, CliError> {
  if (trace.expected === undefined) {
    return ok(undefined);
  }
  const differences = compareOutcomes(trace.expected, outcome);
  if (differences.length === 0) {
    return ok(undefined);
  }
  return err(createCliError({
    exitCode: EXIT_CODES.failed,
    message: `${file}: outcome differs\n${differences.join("\n")}`,
    advice: "Either the reducer or the stated outcome has changed",
  }));
}

function printOutcome(outcome: TraceOutcome): void {
  if ("edits" in outcome) {
    printControlOutcome(outcome);
    return;
  }
  writeColumns(
    ["CALL", "STATUS", "OUTCOME"],
    outcome.answers.map(({ exchangeId, status, outcome: result }) => [
      exchangeId,
      String(status),
      result,
    ]),
  );
  writeLine(
    `Sent to nodes: ${outcome.sentToNodes}; to the backend server: ` +
      `${outcome.sentToBackend}; still open: ${outcome.open}`,
  );
}

function printControlOutcome(outcome: ControlOutcome): void {
  writeColumns(
    ["EDIT", "OUTCOME", "VERSION"],
    outcome.edits.map(({ editId, outcome: result, version }) => [
      editId,
      result,
      String(version),
    ]),
  );
  const reads = outcome.reads.length === 0 ? "none" : outcome.reads.join(", ");
  writeLine(`Reads: ${reads}; table version: ${outcome.tableVersion}`);
}

function readTrace(file: string): Result<Trace, CliError> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return err(createCliError({
      exitCode: EXIT_CODES.usage,
      message: `Can't read ${file}: ${(error as Error).message}`,
      advice: "Name a recording made with the trace setting of a node",
    }));
  }
  return parseTrace(text).mapErr(({ line, reason }) =>
    createCliError({
      exitCode: EXIT_CODES.usage,
      message: `${file}:${line}: ${reason}`,
      advice: "See docs/TRACES.md for the format",
    })
  );
}
