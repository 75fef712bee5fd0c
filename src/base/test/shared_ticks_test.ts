import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { startTicks, TICK_STEP_MS } from "../node/shared_ticks.ts";

const RUN_MS = TICK_STEP_MS * 7;

describe("shared ticks", () => {
  it("run in the same turn of the event loop, whatever their periods", async () => {
    const turns: string[] = [""];
    const record = (name: string) => {
      turns[turns.length - 1] += name;
    };
    const stops = [
      startTicks(TICK_STEP_MS, () => {
        record("a");
        setImmediate(() => turns.push(""));
      }),
      startTicks(2 * TICK_STEP_MS, () => record("b")),
      startTicks(2 * TICK_STEP_MS, () => record("c")),
    ];
    await sleep(RUN_MS);
    stops.forEach((stop) => stop());
    const distinctTurns = new Set(turns.filter((turn) => turn !== ""));
    expect([...distinctTurns].toSorted()).to.deep.equal(["a", "abc"]);
  });

  it("don't run once they are stopped", async () => {
    let count = 0;
    const stop = startTicks(TICK_STEP_MS, () => count += 1);
    await sleep(RUN_MS);
    stop();
    const countAtStop = count;
    await sleep(RUN_MS);
    expect(countAtStop).to.be.greaterThan(0);
    expect(count).to.equal(countAtStop);
  });
});
