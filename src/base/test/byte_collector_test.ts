/** Memory that collected bytes take, whatever the parts that they came in. */
import { expect } from "chai";
import fc from "fast-check";
import { ByteCollector } from "../common/byte_collector.ts";
import { PieceMeter } from "../common/piece_meter.ts";

/** Memory per byte that is held; the rest is the smallest buffer. */
const MAX_FACTOR = 2;
const MIN_BUFFER_BYTES = 1_024;

describe("collected bytes", () => {
  it("are those of all parts in order", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 3_000 })),
        (parts) => {
          const collector = new ByteCollector();
          parts.forEach((part) => collector.add(part));
          const whole = Buffer.concat(parts);
          expect(whole.equals(collector.join())).to.equal(true);
          expect(collector.length).to.equal(whole.length);
          expect(collector.heldBytes)
            .to.be.at.most(MAX_FACTOR * whole.length + MIN_BUFFER_BYTES);
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });

  // Guards against an object for each part, which takes a hundred times a part
  // of one byte.
  it("take about twice their number in memory where each part is one byte", () => {
    const part = Uint8Array.of(7);
    const count = 4_000_000;
    const collector = new ByteCollector();
    const before = process.memoryUsage();
    for (let n = 0; n < count; n += 1) {
      collector.add(part);
    }
    const after = process.memoryUsage();
    expect(collector.length).to.equal(count);
    expect(collector.heldBytes).to.be.at.most(MAX_FACTOR * count);
    expect(after.heapUsed - before.heapUsed).to.be.below(count);
  });

  // Guards against a part that keeps alive the large buffer that it was cut from.
  it("don't hold the buffer of a message that they are a small part of", () => {
    const message = new Uint8Array(1_000_000);
    const collector = new ByteCollector();
    collector.add(message.subarray(500, 600));
    expect(collector.heldBytes).to.be.at.most(MIN_BUFFER_BYTES);
    expect(collector.join()).to.have.length(100);
  });

  it("of a single part are not copied", () => {
    const part = new Uint8Array(100_000);
    const collector = new ByteCollector();
    collector.add(part);
    expect(collector.join().buffer).to.equal(part.buffer);
    collector.add(part);
    expect(collector.length).to.equal(200_000);
    expect(part.every((byte) => byte === 0)).to.equal(true);
  });
});

describe("the pieces of a body", () => {
  it("are refused where many small ones come at once", () => {
    const pieces = new PieceMeter(() => 0);
    let count = 0;
    while (pieces.add(1)) {
      count += 1;
    }
    expect(count).to.be.within(10_000, 20_000);
  });

  // Guards against a bound that a server which streams events would reach.
  it("are taken on and on where small ones come slowly", () => {
    let nowMs = 0;
    const pieces = new PieceMeter(() => nowMs);
    for (let n = 0; n < 200_000; n += 1) {
      nowMs += 1;
      expect(pieces.add(20)).to.equal(true);
    }
  });

  it("are taken at any rate where they are not small", () => {
    const pieces = new PieceMeter(() => 0);
    for (let n = 0; n < 200_000; n += 1) {
      expect(pieces.add(512)).to.equal(true);
    }
  });
});
