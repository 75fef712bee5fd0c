/**
 * Guards against running calls of callers that have left while a node was
 * stopped. A resumed node reads a request one turn of its event loop before the
 * close that follows it. Deciding on the call in that turn runs it: with the
 * entry or the node of the backend server stopped for 600 ms, all 8 calls of
 * callers that closed after 130 ms were run.
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

const CALLER_COUNT = 8;
/** Time after the node resumes during which runs are counted. */
const OBSERVATION_MS = 500;

function formatRequest(index: number): string {
  return `GET /bales/${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`;
}

describe("callers that leave while a node is stopped", () => {
  let pair: CustodyPair;

  before(async () => {
    pair = await openCustodyPair();
  });

  after(() => pair.fleet[Symbol.asyncDispose]());

  /** Counts the runs for callers that leave while a node is stopped. */
  async function countRuns(stopped: FleetNode): Promise<number> {
    const { entry, served } = pair;
    const before = await readRuns(served.backendAddress);
    const sockets = await openConnections(entry.edge, CALLER_COUNT);
    await stopDuring(
      stopped.child,
      () => leaveSoon(sockets, formatRequest),
    );
    await sleep(OBSERVATION_MS);
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
