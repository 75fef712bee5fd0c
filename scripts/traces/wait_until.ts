/** Waits for a condition that depends on other processes. */
import { setTimeout as sleep } from "node:timers/promises";

const WAIT_LIMIT_MS = 30_000;
const POLL_INTERVAL_MS = 20;

/** Polls until `isMet` returns true; throws after `WAIT_LIMIT_MS`. */
export async function waitUntil(
  condition: string,
  isMet: () => Promise<boolean>,
): Promise<void> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  while (!await isMet()) {
    if (Date.now() > endMs) {
      throw new Error(`Timed out waiting for ${condition}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
