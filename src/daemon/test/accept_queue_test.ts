/**
 * Callers left while their connections waited to be accepted, and their calls
 * were run once they were: the runtime accepts one connection in each turn of
 * its loop, and reads a request a turn before the close behind it.
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

const CALLERS = 300;
const SLOW = { stoppedMs: 60, runsMs: 8 };
/** Work must not begin that long after its caller has left. */
const GONE_MS = 500;
/** How long a run that should not be is waited for. */
const SETTLE_MS = 3_000;

describe("callers that leave before a node accepts their connections", () => {
  let pair: CustodyPair;

  before(async () => {
    pair = await openCustodyPair();
  });

  after(() => pair.fleet[Symbol.asyncDispose]());

  /** Connects all at once; resolves when the last caller has left. */
  async function sendBurst(): Promise<void> {
    const { entry } = pair;
    const calls = Array.from(
      { length: CALLERS },
      (_, index) =>
        callOnce(entry.edge, {
          requestId: `r${index}`,
          request: `GET /bales/${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`,
          patienceMs: STAY_MS,
        }),
    );
    await Promise.all(calls);
  }

  it("have nothing run later than half a second after", async () => {
    const { entry, served } = pair;
    let lateRuns = 0;
    await slowDuring(entry.child, SLOW, async () => {
      await sendBurst();
      await sleep(GONE_MS);
      const due = await readRuns(served.backendAddress);
      await sleep(SETTLE_MS);
      const last = await readRuns(served.backendAddress);
      lateRuns = last.started - due.started;
    });
    expect(lateRuns).to.equal(0);
  });
});
