/**
 * Callers left while a node was stopped, and their calls were run once it went
 * on. The node reads a request a turn of its event loop before the close behind
 * it, and decided on the call at once. What settled it: of 8 callers that closed
 * after 130 ms while their entry, or the backend server's node, was stopped for
 * 600 ms, 8 calls were run each time.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";
import {
  leaveSoon,
  openConnections,
  stopDuring,
} from "../../../standin/leaving_callers.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const CALLERS = 8;
/** How long a run that should not be is waited for. */
const SETTLE_MS = 500;

function formatRequest(index: number): string {
  return `GET /bales/${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`;
}

describe("callers that leave while a node is stopped", () => {
  let fleet: Fleet;
  let entry: FleetNode;
  let served: FleetNode;

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "kenitra-a");
    const dataCentre = "kenitra-a";
    entry = await fleet.startNode({
      id: "custody-1",
      service: "custody",
      dataCentre,
    });
    served = await fleet.startNode({
      id: "provenance-1",
      service: "provenance",
      dataCentre,
    });
    const applied = await fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
    const first = await fetch(`http://${entry.edge}/bales/1`);
    expect(first.status).to.equal(200);
  });

  after(() => fleet[Symbol.asyncDispose]());

  /** Counts what is run for callers that leave while a node is stopped. */
  async function countRuns(stopped: FleetNode): Promise<number> {
    const before = await readRuns(served.backendAddress);
    const sockets = await openConnections(entry.edge, CALLERS);
    await stopDuring(
      stopped.child,
      () => leaveSoon(sockets, formatRequest),
    );
    await sleep(SETTLE_MS);
    const after = await readRuns(served.backendAddress);
    return after.started - before.started;
  }

  it("have nothing run where that was their entry", async () => {
    expect(await countRuns(entry)).to.equal(0);
  });

  it("have nothing run where that was the backend server's", async () => {
    expect(await countRuns(served)).to.equal(0);
  });
});
