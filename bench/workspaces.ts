/**
 * Measures the cost of workspace keys: size and time of a routes update to one
 * node, and the time to look up a key.
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import {
  decodeMessage,
  encodeMessage,
} from "../src/base/node/message_codec.ts";
import { DEFAULT_LIMITS } from "../src/engine/routes/common/route_table.ts";
import type { RouteTable } from "../src/engine/routes/common/route_table.ts";
import { buildKeyIndex } from "../src/engine/workspaces/common/workspace.ts";
import { computeKeyDigest } from "../src/engine/workspaces/node/key_digest.ts";

const KEY_COUNTS = [170, 1_000, 10_000, 100_000];
const KEYS_PER_WORKSPACE = 2;
const LOOKUPS = 100_000;

function createTable(keys: number): RouteTable {
  const workspaces = Array.from(
    { length: keys / KEYS_PER_WORKSPACE },
    (_, index) => ({
      name: `workspace-${index}`,
      keyDigests: Array.from(
        { length: KEYS_PER_WORKSPACE },
        (_, n) => computeKeyDigest(createKey(index * KEYS_PER_WORKSPACE + n)),
      ),
      rank: 1,
      ratePerSecond: 20,
      burst: 20,
    }),
  );
  return { version: 1, routes: [], limits: DEFAULT_LIMITS, workspaces };
}

function createKey(index: number): string {
  return `key-${index}-of-a-usual-length`;
}

/** Runs a step; returns its duration in milliseconds and its result. */
function measure<T>(step: () => T): { readonly ms: number; readonly value: T } {
  const startMs = performance.now();
  const value = step();
  return { ms: performance.now() - startMs, value };
}

for (const keys of KEY_COUNTS) {
  const table = createTable(keys);
  const message = { type: "RoutesUpdate", routes: table, isConfirmed: true };
  const encoded = measure(() => encodeMessage(message));
  const decoded = measure(() => decodeMessage(encoded.value));
  const index = measure(() => buildKeyIndex(table.workspaces!));
  const lookups = measure(() => {
    let found = 0;
    for (let n = 0; n < LOOKUPS; n += 1) {
      found += index.value.has(computeKeyDigest(createKey(n % keys))) ? 1 : 0;
    }
    return found;
  });
  process.stdout.write(
    `${keys} keys: ${encoded.value.length} bytes, encoded in ` +
      `${encoded.ms.toFixed(1)} ms, decoded in ${decoded.ms.toFixed(1)} ms, ` +
      `indexed in ${index.ms.toFixed(1)} ms; a look-up ` +
      `${(lookups.ms * 1_000 / LOOKUPS).toFixed(2)} us ` +
      `(${lookups.value} of ${LOOKUPS} found)\n`,
  );
}
