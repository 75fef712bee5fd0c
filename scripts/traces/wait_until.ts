/** Waits for what another process brings about. */
import { setTimeout as sleep } from "node:timers/promises";

const WAIT_MS = 30_000;
const POLL_MS = 20;

/** Polls until `isMet` holds; fails after a generous bound. */
export async function waitUntil(
  what: string,
  isMet: () => Promise<boolean>,
): Promise<void> {
  const endMs = Date.now() + WAIT_MS;
  while (!await isMet()) {
    if (Date.now() > endMs) {
      throw new Error(`Waited in vain for ${what}`);
    }
    await sleep(POLL_MS);
  }
}
