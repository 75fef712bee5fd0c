/**
 * Guards against running calls of callers that have left while their
 * connections waited to be accepted. The runtime accepts one connection per
 * turn of its event loop, and reads a request one turn before the close that
 * follows it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { readRuns } from "../../../standin/fleet.ts";
import {
  callOnce,
  slowDuring,
  STAY_MS,
} from "../../../standin/leaving_callers.ts";
import { openCustodyPair } from "./custody_pair.ts";
import type { CustodyPair } from "./custody_pair.ts";

const CALLER_COUNT = 300;
const SLOWDOWN = { stoppedMs: 60, runsMs: 8 };
/** No run may start later than this after its caller has left. */
const MAX_RUN_DELAY_MS = 500;
/** Time after the burst during which late runs are counted. */
const OBSERVATION_MS = 3_000;

describe("callers that leave before a node accepts their connections", () => {
  let pair: CustodyPair;

  before(async () => {
    pair = await openCustodyPair();
  });

  after(() => pair.fleet[Symbol.asyncDispose]());

  /** Opens all connections at once; resolves when the last caller has left. */
  async function sendBurst(): Promise<void> {
    const { entry } = pair;
    const calls = Array.from(
      { length: CALLER_COUNT },
      (_, index) =>
        callOnce(entry.edge, {
          requestId: `r${index}`,
          request: `GET /bales/${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`,
          callerTimeoutMs: STAY_MS,
        }),
    );
    await Promise.all(calls);
  }

  it("have nothing run later than half a second after", async () => {
    const { entry, served } = pair;
    let lateRuns = 0;
    await slowDuring(entry.child, SLOWDOWN, async () => {
      await sendBurst();
      await sleep(MAX_RUN_DELAY_MS);
      const due = await readRuns(served.backendAddress);
      await sleep(OBSERVATION_MS);
      const last = await readRuns(served.backendAddress);
      lateRuns = last.started - due.started;
    });
    expect(lateRuns).to.equal(0);
  });
});
