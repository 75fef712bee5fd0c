/**
 * Callers left while a node was stopped, and their calls were run once it went
 * on. The node reads a request a turn of its event loop before the close behind
 * it, and decided on the call at once. What settled it: of 8 callers that closed
 * after 130 ms while their entry, or the backend server's node, was stopped for
 * 600 ms, 8 calls were run each time.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { readRuns } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";
import {
  leaveSoon,
  openConnections,
  stopDuring,
} from "../../../standin/leaving_callers.ts";
import { openCustodyPair } from "./custody_pair.ts";
import type { CustodyPair } from "./custody_pair.ts";

const CALLERS = 8;
/** How long a run that should not be is waited for. */
const SETTLE_MS = 500;

function formatRequest(index: number): string {
  return `GET /bales/${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`;
}

describe("callers that leave while a node is stopped", () => {
  let pair: CustodyPair;

  before(async () => {
    pair = await openCustodyPair();
  });

  after(() => pair.fleet[Symbol.asyncDispose]());

  /** Counts what is run for callers that leave while a node is stopped. */
  async function countRuns(stopped: FleetNode): Promise<number> {
    const { entry, served } = pair;
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
    expect(await countRuns(pair.entry)).to.equal(0);
  });

  it("have nothing run where that was the backend server's", async () => {
    expect(await countRuns(pair.served)).to.equal(0);
  });
});
