/** How many bytes of requests are held at a time. */
import { expect } from "chai";
import { HeldBytes } from "../common/held_bytes.ts";

describe("bytes held of requests", () => {
  it("are bounded over all of them, and free again once released", () => {
    const held = new HeldBytes(100);
    const first = held.open();
    const second = held.open();
    expect([first.add(60), second.add(40), second.add(1)])
      .to.deep.equal([true, true, false]);
    first.release();
    expect(second.add(60)).to.equal(true);
    first.release();
    expect(second.add(1)).to.equal(true);
  });

  it("of one request alone are not bounded", () => {
    const held = new HeldBytes(100);
    const alone = held.open();
    expect([alone.add(90), alone.add(90)]).to.deep.equal([true, true]);
    expect(held.open().add(1)).to.equal(false);
  });
});
