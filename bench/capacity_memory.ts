/** Measures resident memory of the runtime, of libraries and of a node. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet } from "../standin/fleet.ts";
import { runLoad } from "./load.ts";
import { readResidentMib } from "./process_probe.ts";
import { computeMedian } from "./report.ts";

/** Median resident memory of one kind of process. */
export interface MemoryFigure {
  readonly name: string;
  readonly mib: number;
}

const SETTLE_MS = 2_000;
const REQUESTS = 2_000;
const TABLE = "examples/coton-loukkos/table.csv";
/** Libraries of a node; each entry is measured with all before it. */
const LIBRARIES = [
  ["node:http"],
  ["ws"],
  ["msgpackr"],
  ["undici"],
  ["valibot", "smol-toml", "neverthrow", "commander", "xxhash-wasm"],
  ["roarr"],
  ["structured-headers"],
  ["@opentelemetry/sdk-metrics", "@opentelemetry/exporter-prometheus"],
] as const;
/** Flags of the runtime; each set is measured on its own. */
const FLAG_SETS: readonly (readonly string[])[] = [
  [],
  ["--max-semi-space-size=1"],
  ["--max-old-space-size=24"],
  ["--v8-pool-size=0"],
  ["--optimize-for-size"],
  [
    "--max-semi-space-size=1",
    "--max-old-space-size=24",
    "--optimize-for-size",
  ],
];

/**
 * Measures all kinds of process; each figure is a median over `runs` processes.
 * A quick run measures the node only with the runtime flags that `basilpind`
 * sets.
 */
export async function measureMemory(
  runs: number,
  isQuick = false,
): Promise<readonly MemoryFigure[]> {
  const figures: MemoryFigure[] = [
    await measureModules("bare runtime", [], runs),
  ];
  const loaded: string[] = [];
  for (const names of LIBRARIES) {
    loaded.push(...names);
    const name = `and with ${names.join(", ")}`;
    figures.push(await measureModules(name, loaded, runs));
  }
  for (const flags of isQuick ? [[]] : FLAG_SETS) {
    figures.push(...await measureNode(flags, runs));
  }
  return figures;
}

async function measureModules(
  name: string,
  modules: readonly string[],
  runs: number,
): Promise<MemoryFigure> {
  const imports = modules.map((module) => `import ${JSON.stringify(module)};`);
  const program = `${imports.join("")}setInterval(()=>{},1e6);`;
  const values = await Promise.all(
    Array.from({ length: runs }, () => measureProgram(program)),
  );
  return { name, mib: computeMedian(values) };
}

async function measureProgram(program: string): Promise<number> {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "-e", program],
    { stdio: "ignore" },
  );
  const exited = once(child, "exit");
  await sleep(SETTLE_MS);
  const mib = readResidentMib(child.pid!);
  child.kill("SIGKILL");
  await exited;
  return mib;
}

/** Measures a node when idle, then after requests, then after a scrape. */
async function measureNode(
  flags: readonly string[],
  runs: number,
): Promise<readonly MemoryFigure[]> {
  const idle: number[] = [];
  const used: number[] = [];
  const scraped: number[] = [];
  for (let run = 0; run < runs; run++) {
    await using fleet = new Fleet();
    await fleet.startControl("control-0", "kenitra-a");
    const node = await fleet.startNode({
      id: "node-0",
      service: "provenance",
      dataCentre: "kenitra-a",
      behaviour: { serviceMs: 0 },
      flags,
    });
    await fleet.run("table", "apply", TABLE, "--wait");
    await sleep(SETTLE_MS);
    idle.push(readResidentMib(node.child.pid!));
    const url = `http://${node.edge}/bales/1`;
    await runLoad({ url, workers: 4, requests: REQUESTS });
    await sleep(SETTLE_MS);
    used.push(readResidentMib(node.child.pid!));
    await scrape(node.operator);
    await sleep(SETTLE_MS);
    scraped.push(readResidentMib(node.child.pid!));
  }
  const suffix = flags.length === 0 ? "" : ` ${flags.join(" ")}`;
  return [
    { name: `node at rest${suffix}`, mib: computeMedian(idle) },
    {
      name: `node after ${REQUESTS} requests${suffix}`,
      mib: computeMedian(used),
    },
    { name: `node scraped after that${suffix}`, mib: computeMedian(scraped) },
  ];
}

async function scrape(operator: string): Promise<void> {
  const answer = await fetch(`http://${operator}/metrics`);
  if (!answer.ok) {
    throw new Error(`Scrape of /metrics answered with status ${answer.status}`);
  }
  await answer.text();
}
