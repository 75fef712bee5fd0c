/** Delays of messages between clocks with different zeros. */
import { expect } from "chai";
import { TransitDelay } from "../common/transit_delay.ts";

const OFFSET_MS = 123_456;

describe("the delay of a message", () => {
  it("is the excess over the usual transit time", () => {
    const delay = new TransitDelay();
    const measure = (sentAtMs: number, transitMs: number) =>
      delay.measure(sentAtMs + OFFSET_MS, sentAtMs + transitMs);
    expect(measure(0, 2)).to.equal(0);
    expect(measure(10, 3)).to.equal(1);
    expect(measure(20, 602)).to.equal(600);
    expect(measure(640, 2)).to.equal(0);
  });

  it("is still measured if the receiver has lagged for half a second", () => {
    const delay = new TransitDelay();
    for (let sentAtMs = 0; sentAtMs < 900; sentAtMs += 10) {
      delay.measure(sentAtMs, sentAtMs + 2);
    }
    expect(delay.measure(900, 1_500)).to.equal(598);
    expect(delay.measure(1_000, 1_600)).to.equal(598);
  });

  it("is reset within seconds after a clock stopped", () => {
    const delay = new TransitDelay();
    for (let sentAtMs = 0; sentAtMs < 2_000; sentAtMs += 10) {
      delay.measure(sentAtMs, sentAtMs + 2);
    }
    let last = Infinity;
    for (let sentAtMs = 2_000; sentAtMs < 4_500; sentAtMs += 10) {
      last = delay.measure(sentAtMs, sentAtMs + 5_002);
    }
    expect(last).to.equal(0);
  });
});
