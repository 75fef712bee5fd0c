/** Requests that stop before their end at the listeners of a node. */
import { connect } from "node:net";
import { expect } from "chai";
import { findPort } from "../../../../standin/ports.ts";
import { listAnswers } from "../../../../standin/scripted_caller.ts";
import { CallServer } from "../node/call_server.ts";

const HOST = "127.0.0.1";
const HEAD = "POST / HTTP/1.1\r\nHost: a\r\n";
/** Limit of this test on how long a connection may be held. */
const MAX_HELD_MS = 40_000;

/** Sends `text`; returns the statuses received until the other end closes. */
function holdConnection(
  port: number,
  text: string,
): Promise<readonly number[] | "held"> {
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(port, HOST, () => socket.write(text));
    const timer = setTimeout(() => {
      resolve("held");
      socket.destroy();
    }, MAX_HELD_MS);
    socket.on("data", (data) => received += String(data));
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(listAnswers(received).map(({ status }) => status));
    });
  });
}

describe("a call that stops before its end", () => {
  // Guards against connections and memory that are held for ever.
  it("is answered 408 and not run, at each listener of a node", async () => {
    const ports = [await findPort(), await findPort(), await findPort()];
    const [edge, egress, ingress] = ports.map((port) => ({ host: HOST, port }));
    let callCount = 0;
    await using server = new CallServer({
      listeners: { edge: edge!, egress: egress!, ingress: ingress! },
      dispatch: () => callCount += 1,
      loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
      recordConnection: () => {},
      firstRequests: { queuedMs: 0, enqueue: (run) => run() },
      connections: 1,
    });
    await server.open();
    const outcomes = await Promise.all(
      ports.flatMap((port) => [
        holdConnection(port, HEAD),
        holdConnection(port, `${HEAD}Content-Length: 9\r\n\r\nab`),
      ]),
    );
    expect(outcomes).to.deep.equal(Array.from({ length: 6 }, () => [408]));
    expect(callCount).to.equal(0);
  }).timeout(60_000);
});
