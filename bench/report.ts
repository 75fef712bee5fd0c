/** Options and output of benchmarks: printed lines, and figures as JSON. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Command } from "commander";

/** Options that all benchmarks accept; some ignore a part of them. */
export interface BenchOptions {
  /** File for the figures as JSON. */
  readonly json: string | undefined;
  /** Number of runs that medians are taken over. */
  readonly runs: number;
  /** Whether to do a shorter run, if the benchmark has one. */
  readonly isQuick: boolean;
  /** File for a chart of the figures, if the benchmark draws one. */
  readonly svg: string | undefined;
  /** Whether processes connect over TLS, if the benchmark supports it. */
  readonly isTls: boolean;
  /** Names of modes or scenarios to run; empty runs all. */
  readonly only: readonly string[];
  /** Folder for CPU profiles of the nodes, if the benchmark supports it. */
  readonly profile: string | undefined;
}

/** Reads the options of a benchmark from the command line. */
export function readBenchOptions(name: string, runs: number): BenchOptions {
  const options = new Command(name)
    .option("--json <file>", "write the figures to a file")
    .option("--runs <count>", "runs that medians are taken over", String(runs))
    .option("--svg <file>", "draw a chart to an SVG file, if supported")
    .option("--tls", "use TLS between processes, if supported")
    .option(
      "--only <names>",
      "names of modes or scenarios to run, comma-separated",
      "",
    )
    .option(
      "--profile <folder>",
      "write CPU profiles of the nodes, if supported",
    )
    .option("--quick", "do a shorter run, if supported")
    .parse().opts<
    {
      json?: string;
      svg?: string;
      quick?: boolean;
      tls?: boolean;
      profile?: string;
      runs: string;
      only: string;
    }
  >();
  return {
    json: options.json,
    svg: options.svg,
    profile: options.profile,
    isQuick: options.quick === true,
    isTls: options.tls === true,
    runs: Number(options.runs),
    only: options.only.split(",").filter((name) => name !== ""),
  };
}

/** Computes the median; the lower middle value of an even count. */
export function computeMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
}

/** Prints a line of the report. */
export function writeReport(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes the figures to the file given with `--json`, if any. */
export function writeFigures(options: BenchOptions, figures: unknown): void {
  if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(figures, null, 2)}\n`);
  }
}
