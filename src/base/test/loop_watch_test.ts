/** How far a loop is behind, as seen by what it reads. */
import { expect } from "chai";
import { LoopWatch } from "../node/loop_watch.ts";

const PERIOD_MS = 20;

class Loop {
  nowMs = 1_000;
  readonly watch = new LoopWatch({
    readClock: () => this.nowMs,
    periodMs: PERIOD_MS,
  });

  pass(lengthMs: number): void {
    this.nowMs += lengthMs;
  }
}

function passTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("a loop", () => {
  it("that runs its timers in time is not behind", () => {
    const loop = new Loop();
    loop.pass(PERIOD_MS);
    loop.watch.tick();
    loop.pass(PERIOD_MS - 5);
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("is behind through the turn that follows a long one, and no longer", async () => {
    const loop = new Loop();
    loop.pass(600);
    expect(loop.watch.lagMs, "within the long turn").to.equal(580);
    loop.watch.tick();
    expect(loop.watch.lagMs, "where sockets are read").to.equal(580);
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });
});
