/** Limits of workspaces: shares from what all entries say, under load. */
import { expect } from "chai";
import { QuotaGate } from "../common/quota_gate.ts";
import { computeShare } from "../common/quota_shares.ts";
import { UsageWindow } from "../common/usage_window.ts";
import type { Workspace } from "../common/workspace.ts";
import {
  createFixedWay,
  createShareWay,
  playQuota,
  TERMS,
} from "./quota_simulation.ts";
import type { QuotaScenario } from "./quota_simulation.ts";

const ENTRIES = [78, 300];
const RATES = [1, 12, 272];
const SEEDS = [1, 2, 3];
/** What a window may hold is never passed. */
const ALL = 1;
/** So much of what is below the limit may be refused by chance. */
const CHANCE = 0.01;

const WORKSPACE: Workspace = {
  name: "mill",
  keyDigests: [],
  rank: undefined,
  ratePerSecond: 10,
  burst: 10,
};

/** Each rate at each size, with three seeds. */
function listScenarios(
  part: Pick<QuotaScenario, "demand"> & Partial<QuotaScenario>,
): readonly QuotaScenario[] {
  return ENTRIES.flatMap((entries) =>
    RATES.flatMap((ratePerSecond) =>
      SEEDS.map((seed) => ({
        entries,
        usedEntries: entries,
        ratePerSecond,
        seed,
        ...part,
      }))
    )
  );
}

function describeScenario(scenario: QuotaScenario): string {
  const { entries, ratePerSecond, seed } = scenario;
  return `${entries} entries, ${ratePerSecond} a second, seed ${seed}`;
}

describe("the limit of a workspace", () => {
  it("refuses nothing of what is usual, nor in a burst of 1.7", () => {
    // Limits are 1.6 times what is asked for on the mean.
    const demand = (atMs: number) =>
      (atMs > 10_000 && atMs < 20_000 ? 1.7 : 1) / 1.6;
    for (const scenario of listScenarios({ demand })) {
      const { wronglyRefused } = playQuota(scenario, createShareWay(scenario));
      expect(wronglyRefused, describeScenario(scenario)).to.be.below(CHANCE);
    }
  });

  it("holds where eight times as much is asked for", () => {
    for (const scenario of listScenarios({ demand: () => 8 })) {
      const settled = { ...scenario, restartsAtMs: 0 };
      const figures = playQuota(settled, createShareWay(settled));
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(ALL);
    }
  });

  it("holds where all entries and control start again under that", () => {
    const isDark = (atMs: number) => atMs > 15_000 && atMs < 16_500;
    const faults = { demand: () => 8, restartsAtMs: 15_000, isDark };
    for (const scenario of listScenarios(faults)) {
      const settled = { ...scenario, lengthMs: 25_000 };
      const way = createShareWay(settled);
      way.restart();
      const figures = playQuota(settled, way);
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(ALL);
    }
  });

  it("holds while control is dark, by what was told before", () => {
    const isDark = (atMs: number) => atMs > 15_000 && atMs < 20_000;
    for (const scenario of listScenarios({ demand: () => 4, isDark })) {
      const way = createShareWay(scenario);
      way.restart();
      const figures = playQuota(scenario, way);
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(ALL);
    }
  });

  // Guards against entries that let all of a jump in until control has answered.
  it("holds where demand jumps from below it to eight times at once", () => {
    const demand = (atMs: number) => atMs < 12_000 ? 0.5 : 8;
    const worst = listScenarios({ demand }).map((scenario) => {
      const { worstWindow } = playQuota(scenario, createShareWay(scenario));
      return { scenario: describeScenario(scenario), worstWindow };
    });
    expect(worst.filter(({ worstWindow }) => worstWindow > ALL))
      .to.deep.equal([]);
  });

  it("would starve small workspaces in fixed parts, which is why it isn't in them", () => {
    const scenario: QuotaScenario = {
      entries: 78,
      usedEntries: 3,
      ratePerSecond: 12,
      demand: () => 1 / 1.6,
    };
    const fixed = playQuota(scenario, createFixedWay(scenario));
    const shared = playQuota(scenario, createShareWay(scenario));
    expect(fixed.wronglyRefused).to.be.above(0.5);
    expect(shared.wronglyRefused).to.equal(0);
  });
});

describe("a share", () => {
  it("is whole below the limit", () => {
    expect(
      computeShare(
        60,
        { asked: 60, askedLately: 24, passed: 60, letIn: 60 },
        TERMS,
      ),
    )
      .to.equal(1);
  });

  it("is what the limit is of the demand, once a window is full", () => {
    const share = computeShare(
      60,
      { asked: 480, askedLately: 192, passed: 67, letIn: 67 },
      TERMS,
    );
    expect(share).to.be.within(59 / 480, 72 / 480);
  });

  it("is whole where most of what is let in is refused for other reasons", () => {
    const usage = { asked: 480, askedLately: 192, passed: 480, letIn: 40 };
    expect(computeShare(60, usage, TERMS)).to.equal(1);
  });

  it("is cut while a window has had more than its due", () => {
    const even = computeShare(
      60,
      { asked: 480, askedLately: 192, passed: 67, letIn: 67 },
      TERMS,
    );
    const over = computeShare(
      60,
      { asked: 480, askedLately: 192, passed: 77, letIn: 77 },
      TERMS,
    );
    expect(over).to.be.below(even * 0.7);
  });
});

describe("the gate of a workspace", () => {
  it("counts what ran nowhere as not let in", () => {
    const gate = new QuotaGate({ terms: TERMS, draw: () => 0.5 });
    gate.replaceShares([], 1);
    gate.decide(WORKSPACE);
    gate.decide(WORKSPACE);
    gate.giveBack(WORKSPACE);
    expect(gate.takeReport())
      .to.deep.equal([{
        name: "mill",
        asked: 2,
        askedLately: 4,
        passed: 2,
        letIn: 1,
      }]);
  });

  it("lets each share in evenly, and says when there is room", () => {
    const gate = new QuotaGate({ terms: TERMS, draw: () => 0 });
    gate.replaceShares([["mill", 0.25]], 1);
    const decisions = Array.from({ length: 8 }, () => gate.decide(WORKSPACE));
    const letIn = decisions.filter(({ type }) => type === "LetIn");
    expect(letIn).to.have.length(2);
    expect(decisions[0]).to.deep.equal({
      type: "OverLimit",
      share: 0.25,
      retryAfterMs: 3_750,
    });
  });

  it("has no limit where the operator sets none", () => {
    const gate = new QuotaGate({ terms: TERMS, draw: () => 0 });
    gate.replaceShares([["mill", 0]], 1);
    const open = { ...WORKSPACE, ratePerSecond: 0, burst: 0 };
    expect(gate.decide(open).type).to.equal("LetIn");
    gate.giveBack(open);
    expect(gate.takeReport()).to.deep.equal([]);
  });

  it("forgets a workspace that asks for nothing any more", () => {
    const window = new UsageWindow(1_000);
    window.note("mill", true);
    window.advance();
    expect(window.list()).to.have.length(1);
    Array.from({ length: 4 }).forEach(() => window.advance());
    expect(window.list()).to.deep.equal([]);
  });
});
