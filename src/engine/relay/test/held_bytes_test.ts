/** Limit on the bytes of requests that are buffered at the same time. */
import { expect } from "chai";
import { BufferedBytes } from "../common/held_bytes.ts";

describe("buffered bytes of requests", () => {
  it("are bounded over all requests, and can be used again once released", () => {
    const held = new BufferedBytes(100);
    const first = held.open();
    const second = held.open();
    expect([first.add(60), second.add(40), second.add(1)])
      .to.deep.equal([true, true, false]);
    first.release();
    expect(second.add(60)).to.equal(true);
    first.release();
    expect(second.add(1)).to.equal(true);
  });

  it("are not bounded for a single request", () => {
    const held = new BufferedBytes(100);
    const alone = held.open();
    expect([alone.add(90), alone.add(90)]).to.deep.equal([true, true]);
    expect(held.open().add(1)).to.equal(false);
  });
});
