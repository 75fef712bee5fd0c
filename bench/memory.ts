/** Measures the resident memory of the runtime, of libraries and of a node. */
import { measureMemory } from "./capacity_memory.ts";
import { readBenchOptions, writeFigures, writeReport } from "./report.ts";

const DEFAULT_RUNS = 3;
/** Width of a figure, in characters. */
const COLUMN_WIDTH = 10;

const options = readBenchOptions("bench:memory", DEFAULT_RUNS);
const memory = await measureMemory(options.runs, options.isQuick);
writeReport(`resident memory, MiB, medians of ${options.runs} processes`);
for (const { name, mib } of memory) {
  writeReport(`${mib.toFixed(1).padStart(COLUMN_WIDTH)} ${name}`);
}
writeFigures(options, { runs: options.runs, memory });
