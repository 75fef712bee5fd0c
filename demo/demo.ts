/**
 * Demo: four services in four data centres, all on the loopback interface. Sends
 * lookups, transfers and photo batches for a few seconds, at normal load and in
 * a surge, and prints the outcomes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { Fleet } from "../standin/fleet.ts";
import type { FleetNode } from "../standin/fleet.ts";
import type { StatusAnswer } from "../src/cli/commands/status.ts";
import { writeColumns, writeLine } from "../src/cli/output.ts";
import type {
  TimelineEvent,
  TimelineRecord,
} from "../src/engine/telemetry/common/timeline_event.ts";

const DATA_CENTRES = ["kenitra-a", "kenitra-b", "larache-a", "larache-b"];
const SERVICES = ["provenance", "custody", "classing", "warehouse"];
const SLOTS = 8;
const PHASE_MS = 4_000;
/** Name of each phase and its number of concurrent callers. */
const PHASES = [["Calm", 24], ["Surge", 240]] as const;
/** Time that a caller waits after a call without a complete answer. */
const RETRY_DELAY_MS = 50;
const BATCH_BYTES = 200_000;
const TABLE = "examples/coton-loukkos/table.csv";

/** Counts of calls of one kind in a phase, by outcome. */
interface Tally {
  sent: number;
  /** Calls with a complete answer. */
  whole: number;
  /** Calls refused with the outcome `not-run`. */
  refused: number;
  /** Calls with other answers, truncated answers or unknown outcomes. */
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

/** Makes one call and counts it; returns whether its answer was complete. */
async function sendCall(edge: string, call: Call): Promise<boolean> {
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
    const isComplete = answer.statusCode === 200 &&
      body.bodyBytes === (call.body?.length ?? 0);
    const isRefused = answer.headers["basilpin-outcome"] === "not-run";
    tally.whole += isComplete ? 1 : 0;
    tally.refused += !isComplete && isRefused ? 1 : 0;
    tally.other += !isComplete && !isRefused ? 1 : 0;
    return isComplete;
  } catch {
    tally.other += 1;
    return false;
  }
}

async function runWorker(nodes: readonly FleetNode[], endMs: number) {
  while (Date.now() < endMs) {
    const node = nodes[sequence % nodes.length]!;
    const isComplete = await sendCall(node.edge, createCall());
    if (!isComplete) {
      await sleep(RETRY_DELAY_MS);
    }
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

async function runPhase(
  nodes: readonly FleetNode[],
  workers: number,
): Promise<void> {
  tallies.clear();
  const endMs = Date.now() + PHASE_MS;
  await Promise.all(
    Array.from({ length: workers }, () => runWorker(nodes, endMs)),
  );
}

function printTallies(phase: string, workers: number): void {
  const whole = [...tallies.values()].reduce((sum, t) => sum + t.whole, 0);
  const seconds = PHASE_MS / 1_000;
  writeLine(
    `${phase}: goodput ${(whole / seconds).toFixed(0)} whole answers/s ` +
      `over ${seconds} s from ${workers} callers`,
  );
  const sorted = [...tallies].toSorted(([a], [b]) => a < b ? -1 : 1);
  writeColumns(
    ["KIND", "SENT", "WHOLE", "REFUSED", "OTHER"],
    sorted.map(([kind, { sent, whole, refused, other }]) => [
      kind,
      ...[sent, whole, refused, other].map(String),
    ]),
  );
}

/** Prints how many nodes have the current table, and the replicas. */
async function printVersion(fleet: Fleet): Promise<void> {
  const { stdout } = await fleet.run("status", "--json");
  const status = JSON.parse(stdout) as StatusAnswer;
  const current = status.nodes
    .filter((node) => node.tableVersion === status.tableVersion);
  writeLine(
    `Table version ${status.tableVersion} is in force on ` +
      `${current.length} of ${status.nodes.length} nodes`,
  );
  writeColumns(
    ["REPLICA", "ROLE", "STATE"],
    status.cluster.members.map(({ id, role, isSilent }) => [
      id,
      role,
      isSilent ? "SILENT" : "heard",
    ]),
  );
}

/** Prints the time line of the last custody transfer that ended. */
async function printTransfer(fleet: Fleet): Promise<void> {
  const { stdout } = await fleet.run("timeline", "--json");
  const records = JSON.parse(stdout) as readonly TimelineRecord[];
  const ended = records.findLast(({ event }) =>
    event.type === "CallEnded" && event.kind === "custody-transfer"
  );
  if (ended?.event.type !== "CallEnded") {
    writeLine("No custody transfer ended");
    return;
  }
  const { requestId } = ended.event;
  const transferRecords = records.filter(({ event }) =>
    "requestId" in event && event.requestId === requestId
  );
  const startMs = transferRecords[0]!.at.wallMs;
  writeLine(`Time line of custody transfer ${requestId}`);
  writeColumns(
    ["AFTER", "PROCESS", "EVENT", ""],
    transferRecords.map(({ at, process, event }) => [
      `${at.wallMs - startMs} ms`,
      process,
      event.type,
      describeDetails(event),
    ]),
  );
}

function describeDetails(event: TimelineEvent): string {
  switch (event.type) {
    case "CallStarted":
      return event.kind;
    case "AttemptSent":
      return `to ${event.to}`;
    case "AttemptRefused":
      return event.reason;
    case "CallEnded":
      return `${event.kind} ${event.status} ${event.outcome}`;
    default:
      return "";
  }
}

await using fleet = new Fleet();
writeLine("Starting 3 control replicas, 16 nodes and backend servers ...");
await fleet.startControls([
  ["control-a", "kenitra-a"],
  ["control-b", "kenitra-b"],
  ["control-c", "larache-a"],
]);
const nodes = await startNodes(fleet);
const applied = await fleet.run("table", "apply", TABLE, "--wait");
if (applied.exitCode !== 0) {
  throw new Error(`Table not accepted: ${applied.stderr}`);
}
writeLine(applied.stdout);
for (const [phase, workers] of PHASES) {
  await runPhase(nodes, workers);
  printTallies(phase, workers);
  writeLine("");
}
await printVersion(fleet);
writeLine("");
await printTransfer(fleet);
