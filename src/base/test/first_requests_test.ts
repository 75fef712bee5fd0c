/**
 * Guards against work on a request whose caller has already disconnected: the
 * close follows the request in the socket and is read one turn after it.
 */
import { expect } from "chai";
import { FirstRequests } from "../node/first_requests.ts";

/** A queue with a clock that only the test advances. */
class Loop {
  nowMs = 1_000;
  readonly requests = new FirstRequests(() => this.nowMs);
  readonly completed: string[] = [];

  enqueue(name: string, workMs = 0): void {
    this.requests.enqueue(() => {
      this.completed.push(name);
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
    loop.enqueue("a");
    await passTurn();
    expect(loop.completed, "while a close may be unread").to.deep.equal([]);
    await passTurn();
    expect(loop.completed).to.deep.equal(["a"]);
  });

  it("waits while connections are accepted", async () => {
    const loop = new Loop();
    loop.enqueue("a");
    for (let turn = 0; turn < 5; turn += 1) {
      loop.requests.recordAccepted();
      await passTurn();
      loop.nowMs += 1;
    }
    expect(loop.completed).to.deep.equal([]);
    await passTurn();
    expect(loop.completed).to.deep.equal(["a"]);
  });

  it("runs although connections are accepted in every turn", async () => {
    const loop = new Loop();
    loop.enqueue("a");
    for (let turn = 0; turn < 12; turn += 1) {
      loop.requests.recordAccepted();
      await passTurn();
      loop.nowMs += 1;
    }
    expect(loop.completed).to.deep.equal(["a"]);
  });

  it("runs in slices with socket reads between, in order of arrival", async () => {
    const loop = new Loop();
    ["a", "b", "c", "d"].forEach((name) => loop.enqueue(name, 3));
    await passTurn();
    await passTurn();
    expect(loop.completed).to.deep.equal(["a", "b"]);
    await passTurn();
    expect(loop.completed).to.deep.equal(["a", "b", "c", "d"]);
  });

  it("has waited at most while every turn accepted a connection", async () => {
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
