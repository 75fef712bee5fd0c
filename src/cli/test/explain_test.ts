/** What `basilpin explain` prints of a version of the routes. */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { Snapshots } from "../../base/test/snapshot.ts";
import { LINES } from "../../engine/telemetry/test/routes_explanation_lines.ts";

const snapshots = new Snapshots(import.meta.url);
const PROGRAM = fileURLToPath(new URL("../main.js", import.meta.url));

interface Output {
  readonly stdout: string;
  readonly stderr: string;
  readonly exitCode: number;
}

describe("the explanation of routes on the command line", () => {
  let folder: string;
  let logs: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), "basilpin-explain-"));
    logs = join(folder, "all.log");
    writeFileSync(logs, LINES.join("\n"));
  });

  after(() => rmSync(folder, { recursive: true }));

  function run(...args: readonly string[]): Promise<Output> {
    return new Promise((resolve) => {
      const argv = [PROGRAM, "explain", ...args];
      execFile(
        process.execPath,
        argv,
        (error, stdout, stderr) =>
          resolve({ stdout, stderr, exitCode: Number(error?.code ?? 0) }),
      );
    });
  }

  it("names each process with the delay from the acceptance", async () => {
    const { stdout, exitCode } = await run("--routes-version", "4", logs);
    expect(exitCode).to.equal(0);
    snapshots.match("version 4", stdout);
  });

  it("takes the version in hexadecimal, and prints the same as data", async () => {
    const args = ["--routes-version", "0x4", logs];
    const { stdout } = await run("--json", ...args);
    const { version, missing } = JSON.parse(stdout);
    expect(version).to.equal(4);
    expect(missing.map((node: { process: string }) => node.process))
      .to.deep.equal(["node-c"]);
  });

  // Guards against an empty explanation that looks like a version without
  // faults.
  it("fails if no line names the version, or if it is none", async () => {
    const unknown = await run("--routes-version", "77", logs);
    expect(unknown.exitCode).to.equal(1);
    expect(unknown.stderr).to.include("No line names version 77 of the routes");
    const invalid = await run("--routes-version", "four", logs);
    expect(invalid.exitCode).to.equal(2);
    const noFiles = await run("q364");
    expect(noFiles.exitCode).to.equal(2);
  });
});
