/**
 * The demo: the Consortium's four services in four data centres on loopback.
 * Sends lookups, transfers and photo batches for some seconds and prints what
 * came of them.
 */
import { request } from "undici";
import { Fleet } from "../standin/fleet.ts";
import type { FleetNode } from "../standin/fleet.ts";
import { writeLine } from "../src/cli/output.ts";

const DATA_CENTRES = ["kenitra-a", "kenitra-b", "larache-a", "larache-b"];
const SERVICES = ["provenance", "custody", "classing", "warehouse"];
const SLOTS = 8;
const RUN_MS = 4_000;
const WORKERS = 24;
const BATCH_BYTES = 200_000;
const TABLE = "examples/coton-loukkos/table.csv";

interface Tally {
  sent: number;
  whole: number;
  refused: number;
  other: number;
}

interface Call {
  readonly kind: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: Uint8Array | string;
  readonly key?: string;
}

const tallies = new Map<string, Tally>();
let sequence = 0;

function createCall(): Call {
  const n = sequence++;
  if (n % 10 === 0) {
    const body = JSON.stringify({ bale: n });
    const key = `transfer-${n}`;
    const path = "/transfers";
    return { kind: "custody-transfer", method: "POST", path, body, key };
  }
  if (n % 10 === 5) {
    const body = new Uint8Array(BATCH_BYTES).fill(n % 256);
    return { kind: "photo-batch", method: "POST", path: `/batches/${n}`, body };
  }
  return { kind: "bale-lookup", method: "GET", path: `/bales/${n}` };
}

async function sendCall(edge: string, call: Call): Promise<void> {
  const tally = tallies.get(call.kind) ??
    { sent: 0, whole: 0, refused: 0, other: 0 };
  tallies.set(call.kind, tally);
  tally.sent += 1;
  try {
    const answer = await request(`http://${edge}${call.path}`, {
      method: call.method,
      headers: call.key === undefined ? {} : { "idempotency-key": call.key },
      body: call.body ?? null,
    });
    const body = await answer.body.json() as { bodyBytes?: number };
    const isWhole = answer.statusCode === 200 &&
      body.bodyBytes === (call.body?.length ?? 0);
    const isRefused = answer.headers["basilpin-outcome"] === "not-run";
    tally.whole += isWhole ? 1 : 0;
    tally.refused += !isWhole && isRefused ? 1 : 0;
    tally.other += !isWhole && !isRefused ? 1 : 0;
  } catch {
    tally.other += 1;
  }
}

async function runWorker(nodes: readonly FleetNode[], endMs: number) {
  while (Date.now() < endMs) {
    const node = nodes[sequence % nodes.length]!;
    await sendCall(node.edge, createCall());
  }
}

async function startNodes(fleet: Fleet): Promise<readonly FleetNode[]> {
  const nodes: Promise<FleetNode>[] = [];
  for (const service of SERVICES) {
    for (const dataCentre of DATA_CENTRES) {
      nodes.push(fleet.startNode({
        id: `${dataCentre}-${service}`,
        service,
        dataCentre,
        slots: SLOTS,
        behaviour: { serviceMs: 10 },
        downstream: { "POST /transfers": ["/bales/7", "/stock/7"] },
      }));
    }
  }
  return await Promise.all(nodes);
}

function printTallies(): void {
  writeLine("kind              sent  whole  refused  other");
  for (const [kind, tally] of tallies) {
    writeLine([
      kind.padEnd(16),
      String(tally.sent).padStart(5),
      String(tally.whole).padStart(6),
      String(tally.refused).padStart(8),
      String(tally.other).padStart(6),
    ].join(" "));
  }
}

async function printTransfer(fleet: Fleet): Promise<void> {
  const all = await fleet.run("timeline", "--json");
  const records = JSON.parse(all.stdout) as {
    event: { type: string; kind?: string; requestId?: string };
  }[];
  const last = records.findLast(({ event }) =>
    event.type === "CallEnded" && event.kind === "custody-transfer"
  );
  const id = last?.event.requestId ?? "";
  writeLine(`\nTime line of custody transfer ${id}`);
  writeLine((await fleet.run("timeline", "--request", id)).stdout);
}

await using fleet = new Fleet();
await fleet.startControls([
  ["control-a", "kenitra-a"],
  ["control-b", "kenitra-b"],
  ["control-c", "larache-a"],
]);
writeLine("Starting 16 nodes and backend servers ...");
const nodes = await startNodes(fleet);
writeLine((await fleet.run("table", "apply", TABLE, "--wait")).stdout);
const endMs = Date.now() + RUN_MS;
await Promise.all(
  Array.from({ length: WORKERS }, () => runWorker(nodes, endMs)),
);
const whole = [...tallies.values()].reduce((sum, t) => sum + t.whole, 0);
writeLine(`Goodput ${(whole / (RUN_MS / 1000)).toFixed(0)} whole answers/s`);
printTallies();
writeLine(`\n${(await fleet.run("status")).stdout}`);
await printTransfer(fleet);
