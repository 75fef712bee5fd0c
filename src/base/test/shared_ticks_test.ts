import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { startTicks, TICK_STEP_MS } from "../node/shared_ticks.ts";

const ENOUGH_MS = TICK_STEP_MS * 7;

describe("shared ticks", () => {
  it("run in the same turn of the event loop, whatever their periods", async () => {
    const turns: string[] = [""];
    const note = (name: string) => {
      turns[turns.length - 1] += name;
    };
    const stops = [
      startTicks(TICK_STEP_MS, () => {
        note("a");
        setImmediate(() => turns.push(""));
      }),
      startTicks(2 * TICK_STEP_MS, () => note("b")),
      startTicks(2 * TICK_STEP_MS, () => note("c")),
    ];
    await sleep(ENOUGH_MS);
    stops.forEach((stop) => stop());
    const kinds = new Set(turns.filter((turn) => turn !== ""));
    expect([...kinds].toSorted()).to.deep.equal(["a", "abc"]);
  });

  it("run no more once they are stopped", async () => {
    let count = 0;
    const stop = startTicks(TICK_STEP_MS, () => count += 1);
    await sleep(ENOUGH_MS);
    stop();
    const atStop = count;
    await sleep(ENOUGH_MS);
    expect(atStop).to.be.greaterThan(0);
    expect(count).to.equal(atStop);
  });
});
