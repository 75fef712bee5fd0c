/** Snapshots for mocha tests, stored by jest-snapshot next to the test file. */
import { existsSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { SnapshotState } from "jest-snapshot";
import { after } from "mocha";

const ROOT = findRoot(dirname(fileURLToPath(import.meta.url)));

/** Compares values with the snapshots of one test file. */
export class Snapshots {
  readonly #state: SnapshotState;

  /** `testFile`: `import.meta.url` of the test. Construct at top level. */
  constructor(testFile: string) {
    const built = relative(join(ROOT, "out"), fileURLToPath(testFile));
    const source = join(ROOT, built.replace(/\.js$/, ".snap"));
    this.#state = new SnapshotState(source, {
      updateSnapshot: process.env["UPDATE_SNAPSHOTS"] === "1" ? "all" : "none",
      expand: false,
      rootDir: ROOT,
      snapshotFormat: { escapeString: false, printBasicPrototype: false },
    });
    after(() => {
      this.#state.save();
    });
  }

  /** Throws if `received` differs from the snapshot named `testName`. */
  match(testName: string, received: unknown): void {
    const result = this.#state.match({
      testName,
      received,
      isInline: false,
    });
    if (!result.pass) {
      throw new Error(
        `Snapshot ${testName} differs; was:\n${result.expected}\n` +
          `is:\n${result.actual}`,
      );
    }
  }
}

function findRoot(folder: string): string {
  return existsSync(join(folder, "package.json"))
    ? folder
    : findRoot(dirname(folder));
}
