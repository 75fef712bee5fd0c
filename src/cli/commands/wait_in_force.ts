/** Waits until all live nodes have confirmed a version of the table. */
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

/**
 * Waits until all live nodes have confirmed `version` or a later one. After
 * `CONFIRM_TIMEOUT_MS`, fails with the ids of the nodes that have not.
 */
export async function waitInForce(
  context: CommandContext,
  version: number,
): Promise<Result<void, CliError>> {
  const endMs = Date.now() + CONFIRM_TIMEOUT_MS;
  let unconfirmed: readonly string[] = [];
  while (Date.now() < endMs) {
    const status = await fetchStatus(context);
    if (status.isErr()) {
      return err(status.error);
    }
    const { nodes } = status.value;
    unconfirmed = nodes
      .filter((node) => (node.tableVersion ?? 0) < version)
      .map((node) => node.nodeId);
    if (unconfirmed.length === 0) {
      if (!context.isJson) {
        writeLine(`Version ${version}: in force on ${nodes.length} nodes`);
      }
      return ok(undefined);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return err(createCliError({
    exitCode: EXIT_CODES.unconfirmed,
    message: `Accepted, but not confirmed by: ${unconfirmed.join(", ")}`,
    advice: "The edit stands; see basilpin status for these nodes",
  }));
}
