/** The order of a connection's requests, whatever comes and ends when. */
import { expect } from "chai";
import fc from "fast-check";
import { MAX_CONCURRENT_EXCHANGES, Pipeline } from "../common/pipeline.ts";

describe("a connection's pipeline", () => {
  it("starts each request once, in order, and never too many", () => {
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

  it("takes nothing once it closes, and says who was on it", () => {
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

function endOne(
  pipeline: Pipeline<number>,
  running: Set<number>,
  at: number,
): readonly number[] {
  const exchange = [...running][at % Math.max(1, running.size)];
  if (exchange === undefined) {
    return [];
  }
  running.delete(exchange);
  return pipeline.end(exchange);
}
