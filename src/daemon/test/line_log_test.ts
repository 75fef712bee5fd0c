/** The limit on log lines, for each kind of event. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { Logger } from "roarr";
import { LineLog } from "../line_log.ts";

const MAX_LINES_PER_SECOND = 20;
const LEFT_OUT = 10;
/** Part of a second within which all lines of a test are written. */
const MARGIN_MS = 200;

describe("the limit on log lines", () => {
  let written: (readonly [event: string, leftOut: unknown])[];
  let counts: string[];
  let log: LineLog;

  beforeEach(() => {
    written = [];
    counts = [];
    const write = (fields: { readonly leftOut?: number }, event: string) =>
      written.push([event, fields.leftOut]);
    const logger = { info: write, warn: write } as unknown as Logger;
    log = new LineLog(logger, (event) => counts.push(event));
  });

  function writeLines(event: string, count: number): void {
    for (let i = 0; i < count; i++) {
      log.write({ event, isFailure: i % 2 === 0 });
    }
  }

  async function waitForSecond(): Promise<void> {
    const leftMs = 1_000 - Date.now() % 1_000;
    await sleep(leftMs > 1_000 - MARGIN_MS ? 0 : leftMs + 1);
  }

  // Guards against a resending operator who fills the log or blocks the replica.
  it("holds for each event, counts all, and tells how many were left out", async () => {
    await waitForSecond();
    writeLines("RoutesChangeRefused", MAX_LINES_PER_SECOND + LEFT_OUT);
    writeLines("RoutesRead", 1);
    expect(written).to.have.length(MAX_LINES_PER_SECOND + 1);
    expect(written.at(-1)).to.deep.equal(["RoutesRead", undefined]);
    expect(counts).to.have.length(MAX_LINES_PER_SECOND + LEFT_OUT + 1);
    await sleep(1_000);
    writeLines("RoutesChangeRefused", 1);
    expect(written.at(-1)).to.deep.equal(["RoutesChangeRefused", LEFT_OUT]);
  });
});
