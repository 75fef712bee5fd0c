/** Explanations of how versions of the routes reached all processes. */
import { expect } from "chai";
import { Snapshots } from "../../../base/test/snapshot.ts";
import { explainRoutes } from "../common/routes_explanation.ts";
import { LINES } from "./routes_explanation_lines.ts";

const snapshots = new Snapshots(import.meta.url);
const VERSION = 4;
const ACCEPTED_MS = 1_000;

interface LineOptions {
  readonly timeMs: number;
  readonly process?: string;
  readonly role?: string;
}

function createLine(
  message: string,
  inputs: Readonly<Record<string, unknown>>,
  { timeMs, process = "replica-a", role = "control" }: LineOptions,
): string {
  const context = { role, process, ...inputs };
  return JSON.stringify({ context, message, time: timeMs });
}

const ACCEPTED = createLine(
  "RoutesChangeAccepted",
  { version: VERSION, digest: "text-a", isRepeat: false },
  { timeMs: ACCEPTED_MS },
);

describe("the explanation of a version of the routes", () => {
  // Guards against a change of which nobody can tell which node took it when.
  it("has the way of a recorded change", () => {
    snapshots.match("recorded change", explainRoutes(LINES, VERSION));
  });

  // Guards against delays that are measured from the answer to a resend.
  it("measures delays from the first acceptance", () => {
    const resent = createLine(
      "RoutesChangeAccepted",
      { version: VERSION, isRepeat: true },
      { timeMs: ACCEPTED_MS - 200, process: "replica-b" },
    );
    const { accepted, steps } = explainRoutes([resent, ACCEPTED], VERSION);
    expect(accepted?.process).to.equal("replica-a");
    expect(steps.map(({ delayMs }) => delayMs)).to.deep.equal([-200, 0]);
  });

  // Guards against a read of a former configuration that goes unnoticed.
  it("has reads of older versions that began after the acceptance", () => {
    const createRead = (version: number, timeMs: number, elapsedMs: number) =>
      createLine("RoutesRead", { version, elapsedMs }, { timeMs });
    const { olderReads } = explainRoutes([
      ACCEPTED,
      createRead(3, ACCEPTED_MS + 50, 60),
      createRead(3, ACCEPTED_MS + 60, 40),
      createRead(4, ACCEPTED_MS + 70, 10),
    ], VERSION);
    expect(olderReads.map(({ delayMs }) => delayMs)).to.deep.equal([60]);
  });

  // Guards against two texts in force under one version.
  it("has other texts under the version, but no refused ones", () => {
    const inputs = { version: VERSION, digest: "text-b" };
    const node = { timeMs: ACCEPTED_MS, process: "node-a", role: "node" };
    const { otherTexts } = explainRoutes([
      ACCEPTED,
      createLine("RoutesChangeRefused", inputs, { timeMs: ACCEPTED_MS }),
      createLine("RoutesInForce", inputs, node),
    ], VERSION);
    expect(otherTexts.map(({ process }) => process)).to.deep.equal(["node-a"]);
  });

  // Guards against a node that skipped a version and counts as lacking it.
  it("has nodes that skipped the version, and those that lack it", () => {
    const createInForce = (process: string, version: number, before: number) =>
      createLine(
        "RoutesInForce",
        { version, before },
        { timeMs: ACCEPTED_MS + 100, process, role: "node" },
      );
    const { missing, steps } = explainRoutes([
      ACCEPTED,
      createInForce("node-a", 6, 3),
      createInForce("node-b", 3, 1),
      createLine("ControlLinked", {}, {
        timeMs: ACCEPTED_MS,
        process: "node-c",
        role: "node",
      }),
    ], VERSION);
    expect(missing.map(({ process, inForce }) => [process, inForce]))
      .to.deep.equal([["node-c", undefined], ["node-b", 3]]);
    expect(steps.map(({ process }) => process))
      .to.deep.equal(["replica-a", "node-a"]);
  });

  it("has no delays if no line says that the version was accepted", () => {
    const applied = createLine(
      "RoutesApplied",
      { version: VERSION },
      { timeMs: ACCEPTED_MS },
    );
    const { accepted, steps } = explainRoutes([applied], VERSION);
    expect(accepted).to.equal(undefined);
    expect(steps.map(({ delayMs }) => delayMs)).to.deep.equal([undefined]);
  });

  it("is the same in any order of the files", () => {
    expect(explainRoutes([...LINES].reverse(), VERSION).missing)
      .to.deep.equal(explainRoutes(LINES, VERSION).missing);
  });
});
