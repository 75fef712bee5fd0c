/** How soon the estimated share of failed calls follows a backend server. */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import {
  computeFailureShare,
  createFailureShare,
  recordOutcome,
} from "../common/failure_share.ts";
import type { FailureShare } from "../common/failure_share.ts";

/** Calls a second to one member, of one node or of all. */
const RATES = [1, 2, 5, 20, 100, 1_000];
const FAILING_MS = 10_000;
/** From this share on a member counts as failing. */
const FAILING_SHARE = 0.2;

/** Records calls at even intervals, of which a share fails. */
function recordCalls(
  state: FailureShare,
  calls: {
    readonly perSecond: number;
    readonly fromMs: number;
    readonly untilMs: number;
    readonly failing: number;
  },
): readonly number[] {
  const draw = createRandom(1);
  const shares: number[] = [];
  const gapMs = 1_000 / calls.perSecond;
  for (let atMs = calls.fromMs; atMs < calls.untilMs; atMs += gapMs) {
    recordOutcome(state, draw() < calls.failing, atMs);
    shares.push(computeFailureShare(state, atMs));
  }
  return shares;
}

describe("the share of calls that a backend server fails", () => {
  for (const perSecond of RATES) {
    // Guards against a member that is avoided long after it has recovered.
    it(`follows its recovery within 7 s at ${perSecond} a second`, () => {
      const state = createFailureShare();
      const failing = { perSecond, fromMs: 0, untilMs: FAILING_MS };
      recordCalls(state, { ...failing, failing: 0.8 });
      const untilMs = FAILING_MS + 7_000;
      const good = { perSecond, fromMs: FAILING_MS, untilMs, failing: 0 };
      recordCalls(state, good);
      expect(computeFailureShare(state, untilMs)).to.be.below(0.1);
    });

    // Guards against a member that fails part of its calls and gets them all.
    it(`stays high while two calls in five fail at ${perSecond} a second`, () => {
      const state = createFailureShare();
      const calls = { perSecond, fromMs: 0, untilMs: 60_000, failing: 0.4 };
      const shares = recordCalls(state, calls).slice(perSecond * 10);
      const low = shares.filter((share) => share < FAILING_SHARE).length;
      expect(low / shares.length).to.be.below(0.35);
      const mean = shares.reduce((sum, share) => sum + share, 0) /
        shares.length;
      expect(mean).to.be.within(0.25, 0.45);
    });
  }

  // Guards against a member that no call may probe, and that stays avoided.
  it("halves every 5 s without a call", () => {
    const state = createFailureShare();
    recordCalls(state, {
      perSecond: 100,
      fromMs: 0,
      untilMs: FAILING_MS,
      failing: 1,
    });
    expect(computeFailureShare(state, FAILING_MS)).to.be.above(0.9);
    expect(computeFailureShare(state, FAILING_MS + 15_000)).to.be.below(0.13);
  });
});
