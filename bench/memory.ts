/** Resident memory of a node: runtime, libraries and state apart. */
import { measureMemory } from "./capacity_memory.ts";
import { readBenchOptions, writeFigures, writeReport } from "./report.ts";

const DEFAULT_RUNS = 3;
const WIDTH = 10;

const options = readBenchOptions("bench:memory", DEFAULT_RUNS);
const memory = await measureMemory(options.runs, options.isQuick);
writeReport(`resident memory, MiB, medians of ${options.runs} processes`);
for (const { name, mib } of memory) {
  writeReport(`${mib.toFixed(1).padStart(WIDTH)} ${name}`);
}
writeFigures(options, { runs: options.runs, memory });
