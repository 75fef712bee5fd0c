/**
 * Checks the results of the last test run. Fails if a failed test is not listed
 * in KNOWN-RED.txt, if more tests of the run are listed than allowed, if an
 * entry names no issue, or if a test named in docs/PROOFS.md did not pass.
 */
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";
import { RESULTS_FILE } from "./test_reporter.ts";
import type { TestResults } from "./test_reporter.ts";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const PROOFS_FILE = "docs/PROOFS.md";
/**
 * Most entries that may name tests of the run. Entries for benchmarks do not
 * count, since a test run does not include those.
 */
const MAX_KNOWN_RED = 3;
/** Form of an entry: full title, a dash, and a description with the issue. */
const ENTRY_PATTERN = /^.+ — .+issue \d+/;
/** Matches a reference to a test: `test: full title` in backquotes. */
const PROOF_TEST_PATTERN = /`test: ([^`]+)`/g;

function readKnownRed(): readonly string[] {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  return lines.filter((line) => line.trim() !== "");
}

function checkFailures(
  results: TestResults,
  knownRed: readonly string[],
): readonly string[] {
  const faults = results.failed
    .filter((title) => !knownRed.some((line) => line.startsWith(title)))
    .map((title) => `Failed: ${title}`);
  const titles = [...results.passed, ...results.failed];
  const listedTests = knownRed
    .filter((line) => titles.some((title) => line.startsWith(title)));
  if (listedTests.length > MAX_KNOWN_RED) {
    faults.push(`${KNOWN_RED_FILE} holds more than ${MAX_KNOWN_RED} tests`);
  }
  faults.push(
    ...knownRed.filter((line) => !ENTRY_PATTERN.test(line))
      .map((line) => `${KNOWN_RED_FILE} names no issue in: ${line}`),
  );
  return faults;
}

/** Matches the title, also if the test appended a result after a colon. */
function hasTest(titles: readonly string[], title: string): boolean {
  return titles.some((executedTitle) =>
    executedTitle === title || executedTitle.startsWith(`${title}: `)
  );
}

function checkProofs(results: TestResults): readonly string[] {
  const executed = [...results.passed, ...results.failed];
  const page = readFileSync(PROOFS_FILE, "utf8");
  return [...page.matchAll(PROOF_TEST_PATTERN)]
    .map(([, title]) => title!)
    .filter((title) => !hasTest(results.passed, title))
    .map((title) =>
      hasTest(executed, title)
        ? `${PROOFS_FILE} names a test that failed: ${title}`
        : `${PROOFS_FILE} names a test that did not run: ${title}`
    );
}

const results = JSON.parse(readFileSync(RESULTS_FILE, "utf8")) as TestResults;
const knownRed = readKnownRed();
for (const line of knownRed) {
  process.stdout.write(`Known red: ${line}\n`);
}
const faults = [
  ...checkFailures(results, knownRed),
  ...checkProofs(results),
];
process.stdout.write(
  `${results.passed.length} passed, ${results.failed.length} failed\n`,
);
if (faults.length > 0) {
  process.stderr.write(`${faults.join("\n")}\n`);
  process.exit(1);
}
