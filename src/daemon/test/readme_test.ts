/** The example in the README equals the demo program, and that runs. */
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Fleet } from "../../../standin/fleet.ts";

describe("README", () => {
  it("shows an example that admits a call", async () => {
    const program = readFileSync("demo/embed.ts", "utf8");
    const shown = program
      .slice(program.indexOf("\n") + 1)
      .replace('"../src/mod.ts"', '"basilpin"');
    expect(readFileSync("README.md", "utf8")).to.contain(shown);
    await using fleet = new Fleet();
    const { stdout, exitCode } = await fleet.runProgram("demo/embed.js");
    expect(exitCode).to.equal(0);
    expect(stdout).to.equal(
      "[ { type: 'RunRequest', attemptId: 'a1' } ]\n",
    );
  });
});
