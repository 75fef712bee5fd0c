/** Mocha's spec reporter, with a file of results and a summary line at the end. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import mocha from "mocha";
import type { MochaOptions, Runner, Test } from "mocha";

/** File with the results of the last run. */
export const RESULTS_FILE = "out/test_results.json";

/** Full titles of the tests that passed and failed in a run. */
export interface TestResults {
  readonly passed: readonly string[];
  readonly failed: readonly string[];
}

/** Prints like the spec reporter and writes `RESULTS_FILE` at the end. */
class TestReporter extends mocha.reporters.Spec {
  constructor(runner: Runner, options: MochaOptions) {
    super(runner, options);
    const passed: string[] = [];
    const failed: string[] = [];
    runner.on("pass", (test: Test) => passed.push(test.fullTitle()));
    runner.on("fail", (test: Test) => failed.push(test.fullTitle()));
    runner.on("end", () => {
      const results: TestResults = { passed, failed };
      writeFileSync(RESULTS_FILE, JSON.stringify(results));
      process.stdout.write(
        `\n${passed.length} passed, ${failed.length} failed\n`,
      );
    });
  }
}

// Mocha loads reporters by `require`, which returns the export of this name.
export { TestReporter as "module.exports" };
