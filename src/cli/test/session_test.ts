/** Guards against unintended changes of what commands print, by snapshots. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Snapshots } from "../../base/test/snapshot.ts";
import { Fleet } from "../../../standin/fleet.ts";

const snapshots = new Snapshots(import.meta.url);
const TABLE = "examples/toy-trust/table.csv";

/** Replaces values that differ between runs by placeholders. */
function mask(text: string, folder: string): string {
  return text
    .replaceAll(folder, "FOLDER")
    .replace(/127\.0\.0\.1:\d+/g, "ADDRESS")
    .replace(/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}/g, "EDIT-ID")
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "TIME")
    .replace(/\b\d+\.\d s\b/g, "AGE")
    .replace(/"(atMs|incarnation)": \d+/g, '"$1": NUMBER');
}

describe("command line", () => {
  let fleet: Fleet;

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "hall-a");
    await fleet.startNode({
      id: "hall-a-catalog-1",
      service: "catalog",
      dataCentre: "hall-a",
    });
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  async function runSession(
    commands: readonly (readonly string[])[],
  ): Promise<string> {
    const outputs: string[] = [];
    for (const args of commands) {
      const { stdout, stderr, exitCode } = await fleet.run(...args);
      outputs.push(`$ basilpin ${args.join(" ")}\n${stdout}${stderr}`);
      outputs.push(`exit code ${exitCode}\n`);
    }
    return mask(outputs.join(""), fleet.folder);
  }

  it("takes an operator from the first table to a drain", async () => {
    const session = await runSession([
      ["table", "get"],
      ["table", "apply", TABLE, "--operator", "amal", "--wait"],
      ["table", "apply", TABLE, "--operator", "amal"],
      ["table", "edit", "refund", "weight=2", "queue=50", "--operator", "badr"],
      ["table", "get"],
      ["table", "history"],
      ["status"],
      ["drain", "hall-a-catalog-1"],
      ["drain", "nowhere"],
    ]);
    snapshots.match("whole session", session);
  });

  it("prints the error and what to do next", async () => {
    const bad = join(fleet.folder, "bad.csv");
    writeFileSync(bad, "kind,service\nx,y\n");
    const session = await runSession([
      ["table", "apply", bad],
      ["table", "apply", "missing.csv"],
      ["table", "edit", "nothing", "weight=1"],
      ["table", "edit", "refund", "weigth=1"],
      ["table", "edit", "refund", "weight=heavy"],
      ["trace", "check", bad],
      ["--control", "127.0.0.1:1", "status"],
      ["frobnicate"],
    ]);
    snapshots.match("errors", session);
  });

  it("explains every command with an example", async () => {
    const session = await runSession([
      ["--help"],
      ["table", "--help"],
      ["table", "get", "--help"],
      ["table", "apply", "--help"],
      ["table", "edit", "--help"],
      ["table", "history", "--help"],
      ["status", "--help"],
      ["timeline", "--help"],
      ["drain", "--help"],
      ["trace", "check", "--help"],
      ["trace", "replay", "--help"],
      ["explain", "--help"],
      ["quarantine", "list", "--help"],
      ["quarantine", "clear", "--help"],
      ["quarantine", "add", "--help"],
    ]);
    const operatorDefault = /(\(default:\s+)"[^"]*"/g;
    snapshots.match("help", session.replace(operatorDefault, '$1"DEFAULT"'));
  });
});
