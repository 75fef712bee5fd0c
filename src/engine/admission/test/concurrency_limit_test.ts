/** The concurrency limit follows latency relative to the baseline per kind. */
import { expect } from "chai";
import { computeCapacity } from "../common/admission_capacity.ts";
import { MIN_LIMIT } from "../common/concurrency_limit.ts";
import {
  createLoad,
  createRequest,
  createRow,
  SingleServer,
} from "./single_server.ts";

const LOOKUP = createRow();
const BATCH = createRow({ kind: "batch" });

function readCapacity(server: SingleServer): number {
  return computeCapacity(server.state, server.nowMs);
}

describe("concurrency limit", () => {
  it("falls in a slowdown to its minimum at most, and recovers", () => {
    const server = new SingleServer(50);
    const load = createLoad(
      server,
      1,
      (n) => createRequest(`${n}`, LOOKUP),
    );
    server.serviceMs = () => 20;
    server.pass(2_000, load);
    expect(readCapacity(server)).to.equal(50);
    server.serviceMs = () => 400;
    server.pass(6_000, load);
    expect(readCapacity(server)).to.be.within(2, 10);
    server.serviceMs = () => 20;
    server.pass(2_000, load);
    expect(readCapacity(server)).to.equal(50);
  });

  it("does not fall for a kind with a long service time", () => {
    const server = new SingleServer(50);
    server.serviceMs = ({ row }) => row.kind === "batch" ? 1_000 : 10;
    server.pass(
      3_000,
      createLoad(server, 0.5, (n) => {
        return createRequest(`lookup-${n}`, LOOKUP);
      }),
    );
    server.pass(
      4_000,
      createLoad(server, 0.1, (n) => {
        const row = n % 4 === 0 ? BATCH : LOOKUP;
        return createRequest(`mixed-${n}`, row);
      }),
    );
    expect(readCapacity(server)).to.equal(50);
  });

  it("does not fall for a delay of a few milliseconds", () => {
    const server = new SingleServer(50);
    const load = createLoad(server, 1, (n) => createRequest(`${n}`, LOOKUP));
    server.serviceMs = () => 1;
    server.pass(1_000, load);
    server.serviceMs = () => 9;
    server.pass(1_000, load);
    expect(readCapacity(server)).to.equal(50);
  });

  it("keeps its minimum where the ramp allows fewer slots", () => {
    expect(readCapacity(new SingleServer(3, true))).to.equal(MIN_LIMIT);
    expect(readCapacity(new SingleServer(1, true))).to.equal(1);
  });

  it("never exceeds the announced slots", () => {
    const server = new SingleServer(3);
    server.serviceMs = () => 10;
    let maxRunning = 0;
    const load = createLoad(server, 1, (n) => createRequest(`${n}`, LOOKUP));
    server.pass(1_000, () => {
      load();
      maxRunning = Math.max(maxRunning, server.state.running.size);
    });
    expect(maxRunning).to.equal(3);
  });
});
