/** Order of a connection's requests, for random arrivals and ends. */
import { expect } from "chai";
import fc from "fast-check";
import { MAX_CONCURRENT_EXCHANGES, Pipeline } from "../common/pipeline.ts";

describe("a connection's pipeline", () => {
  it("starts each request once, in order, and within the limit", () => {
    const steps = fc.array(
      fc.oneof(fc.constant("add"), fc.nat({ max: 40 })),
      { maxLength: 200 },
    );
    fc.assert(
      fc.property(steps, (actions) => {
        const pipeline = new Pipeline<number>();
        const started: number[] = [];
        const running = new Set<number>();
        let added = 0;
        for (const action of actions) {
          const next = action === "add"
            ? pipeline.add(added++)
            : endOne(pipeline, running, action as number);
          for (const exchange of next) {
            started.push(exchange);
            running.add(exchange);
          }
          expect(running.size).to.be.at.most(MAX_CONCURRENT_EXCHANGES);
          expect(pipeline.hasWaiting).to.equal(started.length < added);
        }
        expect(started).to.deep.equal([...started].sort((a, b) => a - b));
        expect(pipeline.size).to.equal(running.size + added - started.length);
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it("ignores further requests once it closes, and returns those it had", () => {
    const pipeline = new Pipeline<string>();
    expect(pipeline.add("a")).to.deep.equal(["a"]);
    expect(pipeline.isLast("a")).to.equal(true);
    expect(pipeline.add("b")).to.deep.equal(["b"]);
    expect(pipeline.isLast("a")).to.equal(false);
    pipeline.stopAccepting();
    expect(pipeline.add("c")).to.deep.equal([]);
    expect(pipeline.closeAll()).to.deep.equal(["a", "b"]);
    expect(pipeline.size).to.equal(0);
  });
});

/** Ends one of the running requests; returns the exchanges to start. */
function endOne(
  pipeline: Pipeline<number>,
  running: Set<number>,
  choice: number,
): readonly number[] {
  const exchange = [...running][choice % Math.max(1, running.size)];
  if (exchange === undefined) {
    return [];
  }
  running.delete(exchange);
  return pipeline.end(exchange);
}
