#!/usr/bin/env node
/** Entry point of `basilpin`, the command-line tool of operators. */
import process from "node:process";
import { Command } from "commander";
import { readUserName } from "./command_context.ts";
import { registerDrain } from "./commands/drain.ts";
import { registerExplain } from "./commands/explain.ts";
import { registerQuarantine } from "./commands/quarantine.ts";
import { registerStatus } from "./commands/status.ts";
import { registerTable } from "./commands/table.ts";
import { registerTimeline } from "./commands/timeline.ts";
import { registerTrace } from "./commands/trace.ts";
import { registerWorkspaces } from "./commands/workspaces.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const DEFAULT_CONTROL = "127.0.0.1:7002";

const program = new Command("basilpin")
  .description("Operates basilpin: the table, the nodes, the time line")
  .option(
    "--control <addresses>",
    "operator addresses of the control replicas, host:port,host:port",
    process.env["BASILPIN_CONTROL"] ?? DEFAULT_CONTROL,
  )
  .option("--operator <name>", "who makes the change", readUserName())
  .option(
    "--token-file <file>",
    "file with your token; without it, that of BASILPIN_TOKEN",
  )
  .option(
    "--authority <file>",
    "PEM of the authority of the processes, where they use TLS",
    process.env["BASILPIN_AUTHORITY"],
  )
  .option("--json", "print JSON")
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage);
  });

registerTable(program);
registerStatus(program);
registerTimeline(program);
registerDrain(program);
registerTrace(program);
registerExplain(program);
registerWorkspaces(program);
registerQuarantine(program);

await program.parseAsync();
