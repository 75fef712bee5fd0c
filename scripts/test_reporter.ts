/** Mocha's spec reporter, plus a file of what ran and a plain closing line. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import mocha from "mocha";
import type { MochaOptions, Runner, Test } from "mocha";

/** Where the results of the last run stand. */
export const RESULTS_FILE = "out/test_results.json";

/** What a run came to, by full title. */
export interface TestResults {
  readonly passed: readonly string[];
  readonly failed: readonly string[];
}

/** Prints as the spec reporter does. */
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

// Mocha loads reporters by `require`, which hands out this export.
export { TestReporter as "module.exports" };
