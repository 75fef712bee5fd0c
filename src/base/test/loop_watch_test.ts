/**
 * Guards against a wrong lag: if too high, work is deferred without need; if
 * too low, work starts for callers that have already disconnected.
 */
import { expect } from "chai";
import { LoopWatch } from "../node/loop_watch.ts";

const PERIOD_MS = 20;

/** A watch with a clock that only the test advances. */
class Loop {
  nowMs = 1_000;
  readonly watch = new LoopWatch({
    readClock: () => this.nowMs,
    periodMs: PERIOD_MS,
  });

  advance(durationMs: number): void {
    this.nowMs += durationMs;
  }
}

function passTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("the event loop", () => {
  it("has no lag while its timers run on time", () => {
    const loop = new Loop();
    loop.advance(PERIOD_MS);
    loop.watch.tick();
    loop.advance(PERIOD_MS - 5);
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("lags for exactly the two turns that follow a long one", async () => {
    const loop = new Loop();
    loop.advance(600);
    expect(loop.watch.lagMs, "within the long turn").to.equal(580);
    loop.watch.tick();
    expect(loop.watch.lagMs, "when sockets are read").to.equal(580);
    await passTurn();
    expect(loop.watch.lagMs, "a turn later").to.equal(580);
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("keeps its lag while connections of the listen backlog are accepted", async () => {
    const loop = new Loop();
    loop.advance(600);
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

  it("lags no longer than the long turn took, whoever connects", async () => {
    const loop = new Loop();
    loop.advance(600);
    loop.watch.tick();
    loop.advance(590);
    loop.watch.tick();
    loop.watch.recordAccepted();
    await passTurn();
    await passTurn();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("drops a lag below the threshold at the next tick", () => {
    const loop = new Loop();
    loop.advance(90);
    expect(loop.watch.lagMs).to.equal(70);
    loop.watch.tick();
    expect(loop.watch.lagMs).to.equal(0);
  });

  it("runs work at once while it doesn't lag", () => {
    const loop = new Loop();
    let runs = 0;
    loop.watch.runAfterPendingReads(() => runs += 1);
    expect(runs).to.equal(1);
  });

  it("runs work two turns later while it lags", async () => {
    const loop = new Loop();
    loop.advance(600);
    let runs = 0;
    loop.watch.runAfterPendingReads(() => runs += 1);
    await passTurn();
    expect(runs, "while a close may be unread").to.equal(0);
    await passTurn();
    expect(runs).to.equal(1);
  });
});
