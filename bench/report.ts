/** How benches print: medians in columns, and JSON to a file. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Command } from "commander";

/** Options that all benches share. */
export interface BenchOptions {
  readonly json: string | undefined;
  readonly runs: number;
  /** Whether a shorter run is wanted. */
  readonly isQuick: boolean;
  readonly svg: string | undefined;
  /** Whether the processes use TLS among them, where the bench can. */
  readonly isTls: boolean;
  /** Names that narrow a run, such as modes and scenarios; empty for all. */
  readonly only: readonly string[];
  /** Folder for processor profiles of the nodes, where there are any. */
  readonly profile: string | undefined;
}

/** Reads the options of a bench. */
export function readBenchOptions(name: string, runs: number): BenchOptions {
  const options = new Command(name)
    .option("--json <file>", "write the figures to a file")
    .option("--runs <count>", "runs that medians are taken over", String(runs))
    .option("--svg <file>", "draw the figures to a file, where it can")
    .option("--tls", "TLS among the processes, where the bench can")
    .option("--only <names>", "narrow the run, comma-separated", "")
    .option("--profile <folder>", "profile the nodes, where it can")
    .option("--quick", "a shorter run, where there is one")
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

/** Computes the median; the lower one of two. */
export function computeMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
}

/** Prints a line of the report. */
export function writeReport(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes the figures where `--json` was given. */
export function writeFigures(options: BenchOptions, figures: unknown): void {
  if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(figures, null, 2)}\n`);
  }
}
