/** Admission levels: encoding, control and use at entry nodes; retry delays. */
import { expect } from "chai";
import fc from "fast-check";
import {
  computeAdmissionHash,
  createLevel,
  decodeLevel,
  encodeLevel,
  HASH_PERIOD_MS,
  isBelowLevel,
} from "../common/admission_level.ts";
import {
  INITIAL_LEVEL_CONTROL,
  recordArrival,
  recordOverload,
  updateLevel,
} from "../common/level_control.ts";
import {
  isRefusedEarly,
  LEVEL_TTL_MS,
  type LevelView,
  MAX_LEVELS,
  recordLevel,
} from "../common/level_view.ts";
import { computeRetryAfter } from "../common/retry_after.ts";

const NOW_MS = 1_000_000;
const LEVEL = { importance: 3, hash: 2 ** 31 };

function createView(nodeIds: readonly string[]): LevelView {
  return nodeIds.reduce<LevelView>(
    (view, nodeId) =>
      recordLevel(view, { nodeId, kind: "k", level: LEVEL }, NOW_MS),
    new Map(),
  );
}

function countRefused(view: LevelView, importance: number, nowMs = NOW_MS) {
  const ids = Array.from({ length: 1_000 }, (_, n) => `root-${n}`);
  return ids.filter((id) =>
    isRefusedEarly(view, {
      id,
      kind: "k",
      importance,
      admissionHash: 5,
      members: ["a", "b", "c"],
    }, nowMs)
  ).length;
}

describe("admission level", () => {
  it("decodes to the level that was encoded", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0.001, max: 10, noNaN: true }),
        (position) => {
          const level = createLevel(position)!;
          expect(decodeLevel(encodeLevel(level))).to.deep.equal(level);
        },
      ),
    );
    expect(encodeLevel(LEVEL)).to.equal("i=3, h=2147483648");
    for (const bad of ["", "i=3", "i=10, h=1", "i=3, h=-1", "{", "i=x, h=y"]) {
      expect(decodeLevel(bad), bad).to.equal(undefined);
    }
  });

  it("orders by importance first, then by hash", () => {
    const isBelow = (importance: number, admissionHash: number) =>
      isBelowLevel({ importance, admissionHash }, LEVEL);
    expect(isBelow(2, 2 ** 32 - 1)).to.equal(true);
    expect(isBelow(3, 2 ** 31 - 1)).to.equal(true);
    expect(isBelow(3, 2 ** 31)).to.equal(false);
    expect(isBelow(9, 0)).to.equal(false);
  });

  it("changes the hash of a caller once per period", () => {
    const compute = (nowMs: number) =>
      computeAdmissionHash({ key: "caller", share: 1, nowMs });
    expect(compute(HASH_PERIOD_MS - 1)).to.equal(compute(0));
    expect(compute(HASH_PERIOD_MS)).not.to.equal(compute(0));
  });

  it("refuses early what half of the members refuse, except probes", () => {
    const refused = countRefused(createView(["a", "b"]), 3);
    expect(refused).to.be.within(960, 995);
    expect(countRefused(createView(["a", "b"]), 9)).to.equal(0);
    expect(countRefused(createView(["a"]), 3)).to.equal(0);
  });

  it("drops a level that was removed or has expired", () => {
    const view = createView(["a", "b"]);
    const expiredMs = NOW_MS + LEVEL_TTL_MS;
    expect(countRefused(view, 3, expiredMs)).to.equal(0);
    const report = { nodeId: "a", kind: "k", level: undefined };
    expect(countRefused(recordLevel(view, report, NOW_MS), 3)).to.equal(0);
  });

  it("keeps a bounded number of levels", () => {
    const ids = Array.from({ length: MAX_LEVELS + 5 }, (_, n) => `node-${n}`);
    const view = createView(ids);
    expect(view.size).to.equal(MAX_LEVELS);
    expect(view.has("node-0 k")).to.equal(false);
    expect(view.has(`${ids.at(-1)} k`)).to.equal(true);
  });
});

describe("level control", () => {
  const arrived = [3, 3, 3, 9].reduce(recordArrival, INITIAL_LEVEL_CONTROL);

  it("raises no level for a burst, only for a standing queue", () => {
    const refused = recordOverload(arrived, 3);
    expect(updateLevel(refused, false).position).to.equal(0);
    expect(updateLevel(refused, true).position).to.be.within(3, 4);
  });

  it("cuts nothing above the importances that were refused", () => {
    const control = { ...INITIAL_LEVEL_CONTROL, position: 3.99 };
    const arrivals = recordArrival(recordArrival(control, 9), 9);
    const low = updateLevel(recordOverload(arrivals, 3), true);
    const high = updateLevel(recordOverload(arrivals, 9), true);
    expect(low.position).to.be.at.most(4);
    expect(high.position).to.be.greaterThan(9);
  });
});

describe("retry after", () => {
  it("spreads the delays, wider under pressure, within bounds", () => {
    const ids = Array.from({ length: 1_000 }, (_, n) => `root-${n}`);
    const count = (pressure: number, second: number) =>
      ids.filter((id) =>
        Math.floor(computeRetryAfter(id, pressure) / 1_000) === second
      ).length;
    expect(count(0, 1)).to.be.within(430, 570);
    expect(count(0, 2)).to.be.within(430, 570);
    for (const second of [1, 2, 3, 4, 5, 6, 7, 8]) {
      expect(count(1, second)).to.be.within(90, 160);
    }
  });
});
