/**
 * Checks the last test run: each failure is listed in KNOWN-RED.txt (three at
 * most), each entry names an open issue, and each test that docs/PROOFS.md names
 * has run and passed.
 */
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";
import { RESULTS_FILE } from "./test_reporter.ts";
import type { TestResults } from "./test_reporter.ts";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const PROOFS_FILE = "docs/PROOFS.md";
/** Most tests of a run that may fail; days of the bench are not in a run. */
const MAX_KNOWN_RED = 3;
const ENTRY = /^.+ — .+issue \d+/;
/** Tests stand in the page as `test: full title`. */
const PROOF_TEST = /`test: ([^`]+)`/g;

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
  const excused = knownRed
    .filter((line) => titles.some((title) => line.startsWith(title)));
  if (excused.length > MAX_KNOWN_RED) {
    faults.push(`${KNOWN_RED_FILE} holds more than ${MAX_KNOWN_RED} tests`);
  }
  faults.push(
    ...knownRed.filter((line) => !ENTRY.test(line))
      .map((line) => `${KNOWN_RED_FILE} names no issue in: ${line}`),
  );
  return faults;
}

/** A test may add what it found to its title, after a colon. */
function hasTest(titles: readonly string[], title: string): boolean {
  return titles.some((ran) => ran === title || ran.startsWith(`${title}: `));
}

function checkProofs(results: TestResults): readonly string[] {
  const known = [...results.passed, ...results.failed];
  const page = readFileSync(PROOFS_FILE, "utf8");
  return [...page.matchAll(PROOF_TEST)]
    .map(([, title]) => title!)
    .filter((title) => !hasTest(results.passed, title))
    .map((title) =>
      hasTest(known, title)
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
