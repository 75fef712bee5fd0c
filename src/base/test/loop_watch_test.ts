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

  it("is behind through the two turns that follow a long one, and no longer", async () => {
    const loop = new Loop();
    loop.pass(600);
    expect(loop.watch.lagMs, "within the long turn").to.equal(580);
    loop.watch.tick();
    expect(loop.watch.lagMs, "where sockets are read").to.equal(580);
    await passTurn();
    expect(loop.watch.lagMs, "a turn later").to.equal(580);
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("stays behind while connections come out of the listener's queue", async () => {
    const loop = new Loop();
    loop.pass(600);
    loop.watch.tick();
    for (let accepted = 0; accepted < 3; accepted += 1) {
      loop.watch.recordAccepted();
      await passTurn();
      await passTurn();
      expect(loop.watch.lagMs).to.equal(580);
    }
    await passTurn();
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("doesn't stay behind longer than it was, whoever connects", async () => {
    const loop = new Loop();
    loop.pass(600);
    loop.watch.tick();
    loop.pass(590);
    loop.watch.tick();
    loop.watch.recordAccepted();
    await passTurn();
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("forgets at once a lag within which nobody has left for long", () => {
    const loop = new Loop();
    loop.pass(90);
    expect(loop.watch.lagMs).to.equal(70);
    loop.watch.tick();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("runs what was read at once, where it is not behind", () => {
    const loop = new Loop();
    let runs = 0;
    loop.watch.runAfterPendingReads(() => runs += 1);
    expect(runs).to.equal(1);
  });

  it("runs what was read two turns later, where it is behind", async () => {
    const loop = new Loop();
    loop.pass(600);
    let runs = 0;
    loop.watch.runAfterPendingReads(() => runs += 1);
    await passTurn();
    expect(runs, "while a close may lie unread").to.equal(0);
    await passTurn();
    expect(runs).to.equal(1);
  });
});
