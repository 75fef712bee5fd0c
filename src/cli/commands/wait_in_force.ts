/** Waits until every live node has confirmed a version of the table. */
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import { createCliError } from "../cli_error.ts";
import type { CliError } from "../cli_error.ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { writeLine } from "../output.ts";
import { fetchStatus } from "./status.ts";

const CONFIRM_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 100;

/** Returns an error that names the nodes that have not confirmed in time. */
export async function waitInForce(
  context: CommandContext,
  version: number,
): Promise<Result<void, CliError>> {
  const endMs = Date.now() + CONFIRM_TIMEOUT_MS;
  let behind: readonly string[] = [];
  while (Date.now() < endMs) {
    const status = await fetchStatus(context);
    if (status.isErr()) {
      return err(status.error);
    }
    const { nodes } = status.value;
    behind = nodes
      .filter((node) => (node.tableVersion ?? 0) < version)
      .map((node) => node.nodeId);
    if (behind.length === 0) {
      if (!context.isJson) {
        writeLine(`Version ${version}: in force on ${nodes.length} nodes`);
      }
      return ok(undefined);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return err(createCliError({
    exitCode: EXIT_CODES.unconfirmed,
    message: `Accepted, but not confirmed by: ${behind.join(", ")}`,
    advice: "The edit stands; see basilpin status for these nodes",
  }));
}
