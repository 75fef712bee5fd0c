/** First requests of connections, and the closes that lie behind them. */
import { expect } from "chai";
import { FirstRequests } from "../node/first_requests.ts";

/** A loop whose clock goes on only where the test says so. */
class Loop {
  nowMs = 1_000;
  readonly requests = new FirstRequests(() => this.nowMs);
  readonly ran: string[] = [];

  hold(name: string, workMs = 0): void {
    this.requests.enqueue(() => {
      this.ran.push(name);
      this.nowMs += workMs;
    });
  }
}

function passTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("the first request of a connection", () => {
  it("goes on only once a close behind it has been read", async () => {
    const loop = new Loop();
    loop.hold("a");
    await passTurn();
    expect(loop.ran, "while a close may lie unread").to.deep.equal([]);
    await passTurn();
    expect(loop.ran).to.deep.equal(["a"]);
  });

  it("waits while connections are accepted, so that none waits long", async () => {
    const loop = new Loop();
    loop.hold("a");
    for (let turn = 0; turn < 5; turn += 1) {
      loop.requests.recordAccepted();
      await passTurn();
      loop.nowMs += 1;
    }
    expect(loop.ran).to.deep.equal([]);
    await passTurn();
    expect(loop.ran).to.deep.equal(["a"]);
  });

  it("doesn't wait for connections that never end", async () => {
    const loop = new Loop();
    loop.hold("a");
    for (let turn = 0; turn < 12; turn += 1) {
      loop.requests.recordAccepted();
      await passTurn();
      loop.nowMs += 1;
    }
    expect(loop.ran).to.deep.equal(["a"]);
  });

  it("is run in slices with reads between, in order of arrival", async () => {
    const loop = new Loop();
    ["a", "b", "c", "d"].forEach((name) => loop.hold(name, 3));
    await passTurn();
    await passTurn();
    expect(loop.ran).to.deep.equal(["a", "b"]);
    await passTurn();
    expect(loop.ran).to.deep.equal(["a", "b", "c", "d"]);
  });

  it("has waited for no longer than each turn accepted a connection", async () => {
    const loop = new Loop();
    for (let turn = 0; turn < 4; turn += 1) {
      loop.requests.recordAccepted();
      loop.nowMs += 50;
      await passTurn();
    }
    expect(loop.requests.queuedMs).to.equal(200);
    await passTurn();
    expect(loop.requests.queuedMs).to.equal(0);
  });
});
