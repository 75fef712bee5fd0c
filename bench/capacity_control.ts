/** Measures light nodes against real control processes, one run of one size. */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import { request } from "undici";
import type { StatusAnswer } from "../src/cli/commands/status.ts";
import { formatRow } from "../src/engine/table/common/table_schema.ts";
import type { Table } from "../src/engine/table/common/table_row.ts";
import { WARM_UP_MS } from "../src/engine/membership/common/membership_state.ts";
import { Fleet } from "../standin/fleet.ts";
import type { FleetControl } from "../standin/fleet.ts";
import { LightFleet } from "./light_fleet.ts";
import { readCpuMs, readResidentMib } from "./process_probe.ts";

/** Figures of one run. */
export interface ControlFigure {
  readonly nodes: number;
  readonly replicas: number;
  readonly nodeBytesPerSecond: number;
  readonly nodeMessagesPerSecond: number;
  readonly nodeCpuMsPerSecond: number;
  readonly controlCpuMsPerSecond: number;
  readonly nodeBytesPerEdit: number;
  readonly controlCpuMsPerEdit: number;
  readonly controlCpuMsPerAnnouncement: number;
  /** Time from sending an edit until a node has it in force, over all nodes. */
  readonly inForceP50Ms: number;
  readonly inForceP99Ms: number;
  readonly inForceMaxMs: number;
  /** Resident memory of the largest control process. */
  readonly controlMib: number;
}

const IDLE_MS = 6_000;
const SETTLE_MS = 1_500;
const EDITS = 20;
const EDIT_GAP_MS = 200;
const TABLE = "examples/coton-loukkos/table.csv";
const KIND = "bale-lookup";
const WAIT_LIMIT_MS = 20_000;
const MS_PER_SECOND = 1_000;
const REAL_NODES = 3;

/** Measures `nodes` light nodes against `replicas` control processes. */
export async function measureControl(
  nodes: number,
  replicas: number,
): Promise<ControlFigure> {
  await using fleet = new Fleet();
  await using light = new LightFleet();
  const ids = Array.from(
    { length: replicas },
    (_, n) => [`control-${n}`, "kenitra-a"] as const,
  );
  const controls = await fleet.startControls(ids);
  await light.start(nodes, controls.map((control) => control.link));
  for (const { operator } of controls) {
    await fleet.run("--control", operator, "table", "apply", TABLE);
  }
  await waitForMembers(controls, nodes);
  // The complete member lists sent at the end of the warm-up are not measured.
  await sleep(WARM_UP_MS);
  const idle = await measureWindow(controls, light, () => sleep(IDLE_MS));
  const sentAtMs = new Map<number, number>();
  const edits = await measureWindow(
    controls,
    light,
    () => sendEdits(controls, sentAtMs),
  );
  const announced = await measureWindow(controls, light, async () => {
    await light.announce();
    await sleep(SETTLE_MS);
  });
  const totals = await light.read();
  const delays = totals.inForceAtMs
    .filter(([version]) => sentAtMs.has(version))
    .map(([version, atMs]) => atMs - sentAtMs.get(version)!)
    .toSorted((a, b) => a - b);
  if (delays.length !== nodes * EDITS) {
    throw new Error(
      `${delays.length} of ${nodes * EDITS} edits came into force at the nodes`,
    );
  }
  const perSecond = (value: number) => value / idle.seconds;
  const idleCpu = perSecond(idle.controlCpuMs);
  const idleBytes = perSecond(idle.bytes);
  return {
    nodes,
    replicas,
    nodeBytesPerSecond: idleBytes / nodes,
    nodeMessagesPerSecond: perSecond(idle.messages) / nodes,
    nodeCpuMsPerSecond: perSecond(idle.lightCpuMs) / nodes,
    controlCpuMsPerSecond: idleCpu,
    nodeBytesPerEdit: (edits.bytes - idleBytes * edits.seconds) /
      nodes / EDITS,
    controlCpuMsPerEdit: (edits.controlCpuMs - idleCpu * edits.seconds) /
      EDITS,
    controlCpuMsPerAnnouncement:
      (announced.controlCpuMs - idleCpu * announced.seconds) / nodes,
    inForceP50Ms: delays[Math.floor(delays.length / 2)]!,
    inForceP99Ms: delays[Math.floor(delays.length * 0.99)]!,
    inForceMaxMs: delays.at(-1)!,
    controlMib: Math.max(
      ...controls.map(({ child }) => readResidentMib(child.pid!)),
    ),
  };
}

/** Measures the processor time of a few real node processes without calls. */
export async function measureRealNodes(): Promise<
  { readonly count: number; readonly idleCpuMsPerSecond: number }
> {
  await using fleet = new Fleet();
  await fleet.startControl("control-0", "kenitra-a");
  const nodes = await Promise.all(
    Array.from({ length: REAL_NODES }, (_, n) =>
      fleet.startNode({
        id: `node-${n}`,
        service: "provenance",
        dataCentre: "kenitra-a",
      })),
  );
  await sleep(SETTLE_MS);
  const sum = () =>
    nodes.reduce((total, { child }) => total + readCpuMs(child.pid!), 0);
  const before = sum();
  await sleep(IDLE_MS);
  const spentMs = sum() - before;
  const seconds = IDLE_MS / MS_PER_SECOND;
  const idleCpuMsPerSecond = spentMs / seconds / REAL_NODES;
  return { count: REAL_NODES, idleCpuMsPerSecond };
}

/** Totals over a measured interval. */
interface WindowTotals {
  readonly seconds: number;
  /** Processor time of the busiest control process. */
  readonly controlCpuMs: number;
  /** Processor time of all processes of light nodes. */
  readonly lightCpuMs: number;
  readonly bytes: number;
  readonly messages: number;
}

async function measureWindow(
  controls: readonly FleetControl[],
  light: LightFleet,
  run: () => Promise<void>,
): Promise<WindowTotals> {
  const before = await light.read();
  const cpuBefore = controls.map(({ child }) => readCpuMs(child.pid!));
  const startedAtMs = performance.now();
  await run();
  const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
  const spent = controls.map(({ child }, index) =>
    readCpuMs(child.pid!) - cpuBefore[index]!
  );
  const after = await light.read();
  return {
    seconds,
    controlCpuMs: Math.max(...spent),
    lightCpuMs: after.cpuMs - before.cpuMs,
    bytes: after.sentBytes - before.sentBytes +
      after.receivedBytes - before.receivedBytes,
    messages: after.messages - before.messages,
  };
}

/**
 * Sends each edit to every replica under the same edit id. Replicas that share
 * a log apply it once and repeat the first answer; others each apply it.
 */
async function sendEdits(
  controls: readonly FleetControl[],
  sentAtMs: Map<number, number>,
): Promise<void> {
  for (let n = 0; n < EDITS; n++) {
    const { body } = await request(`http://${controls[0]!.operator}/table`);
    const table = await body.json() as Table;
    const row = table.rows.find(({ kind }) => kind === KIND)!;
    const cells = { ...formatRow(row, row.version), weight: String(n + 10) };
    const change = { type: "PutRow", cells };
    const edit = JSON.stringify({ editId: randomUUID(), change });
    sentAtMs.set(
      table.version + 1,
      performance.timeOrigin + performance.now(),
    );
    await Promise.all(
      controls.map(({ operator }) => sendEdit(operator, edit)),
    );
    await sleep(EDIT_GAP_MS);
  }
}

async function sendEdit(operator: string, edit: string): Promise<void> {
  const answer = await request(`http://${operator}/table/edits`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: edit,
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`Edit refused: ${text}`);
  }
}

async function waitForMembers(
  controls: readonly FleetControl[],
  nodes: number,
): Promise<void> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  for (const { operator } of controls) {
    for (;;) {
      const { body } = await request(`http://${operator}/status`);
      const status = await body.json() as StatusAnswer;
      const isReady = status.nodes.length === nodes &&
        status.nodes.every((node) => node.tableVersion === 1);
      if (isReady) {
        break;
      }
      if (Date.now() > endMs) {
        throw new Error(
          `${status.nodes.length} of ${nodes} nodes listed before the timeout`,
        );
      }
      await sleep(100);
    }
  }
}
