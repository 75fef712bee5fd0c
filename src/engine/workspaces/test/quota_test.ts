/**
 * Limits of workspaces: shares from the reports of all entry nodes, under load.
 */
import { expect } from "chai";
import { QuotaGate } from "../common/quota_gate.ts";
import { computeShare } from "../common/quota_shares.ts";
import { UsageWindow } from "../common/usage_window.ts";
import type { Workspace } from "../common/workspace.ts";
import {
  createFixedPolicy,
  createSharedPolicy,
  simulateQuota,
  TERMS,
} from "./quota_simulation.ts";
import type { QuotaScenario } from "./quota_simulation.ts";

const ENTRIES = [78, 300];
const RATES = [1, 12, 272];
const SEEDS = [1, 2, 3];
/** The fullest window relative to the allowed maximum: never above it. */
const MAX_WINDOW_RATIO = 1;
/** Share of the requests below the limit that may be refused by chance. */
const MAX_WRONGLY_REFUSED = 0.01;

const WORKSPACE: Workspace = {
  name: "mill",
  keyDigests: [],
  rank: undefined,
  ratePerSecond: 10,
  burst: 10,
};

/** Lists a scenario for each combination of fleet size, rate and seed. */
function listScenarios(
  scenario: Pick<QuotaScenario, "demand"> & Partial<QuotaScenario>,
): readonly QuotaScenario[] {
  return ENTRIES.flatMap((entries) =>
    RATES.flatMap((ratePerSecond) =>
      SEEDS.map((seed) => ({
        entries,
        usedEntries: entries,
        ratePerSecond,
        seed,
        ...scenario,
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
    // Limits are 1.6 times the mean demand.
    const demand = (atMs: number) =>
      (atMs > 10_000 && atMs < 20_000 ? 1.7 : 1) / 1.6;
    for (const scenario of listScenarios({ demand })) {
      const { wronglyRefused } = simulateQuota(
        scenario,
        createSharedPolicy(scenario),
      );
      expect(wronglyRefused, describeScenario(scenario)).to.be.below(
        MAX_WRONGLY_REFUSED,
      );
    }
  });

  it("holds where eight times as much is asked for", () => {
    for (const scenario of listScenarios({ demand: () => 8 })) {
      const settled = { ...scenario, restartsAtMs: 0 };
      const figures = simulateQuota(settled, createSharedPolicy(settled));
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(MAX_WINDOW_RATIO);
    }
  });

  it("holds where all entry nodes and control replicas restart under that load", () => {
    const isControlDown = (atMs: number) => atMs > 15_000 && atMs < 16_500;
    const faults = { demand: () => 8, restartsAtMs: 15_000, isControlDown };
    for (const scenario of listScenarios(faults)) {
      const settled = { ...scenario, lengthMs: 25_000 };
      const policy = createSharedPolicy(settled);
      policy.restart();
      const figures = simulateQuota(settled, policy);
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(MAX_WINDOW_RATIO);
    }
  });

  it("holds by the last received shares while the control replicas are down", () => {
    const isControlDown = (atMs: number) => atMs > 15_000 && atMs < 20_000;
    for (
      const scenario of listScenarios({
        demand: () => 4,
        isControlDown,
      })
    ) {
      const policy = createSharedPolicy(scenario);
      policy.restart();
      const figures = simulateQuota(scenario, policy);
      expect(figures.worstWindow, describeScenario(scenario))
        .to.be.at.most(MAX_WINDOW_RATIO);
    }
  });

  // Guards against entry nodes that admit everything until the shares arrive.
  it("holds where demand jumps from below it to eight times at once", () => {
    const demand = (atMs: number) => atMs < 12_000 ? 0.5 : 8;
    const worst = listScenarios({ demand }).map((scenario) => {
      const { worstWindow } = simulateQuota(
        scenario,
        createSharedPolicy(scenario),
      );
      return { scenario: describeScenario(scenario), worstWindow };
    });
    expect(worst.filter(({ worstWindow }) => worstWindow > MAX_WINDOW_RATIO))
      .to.deep.equal([]);
  });

  it("would starve small workspaces if it were divided among the entry nodes", () => {
    const scenario: QuotaScenario = {
      entries: 78,
      usedEntries: 3,
      ratePerSecond: 12,
      demand: () => 1 / 1.6,
    };
    const fixed = simulateQuota(scenario, createFixedPolicy(scenario));
    const shared = simulateQuota(scenario, createSharedPolicy(scenario));
    expect(fixed.wronglyRefused).to.be.above(0.5);
    expect(shared.wronglyRefused).to.equal(0);
  });
});

describe("a share", () => {
  it("is 1 below the limit", () => {
    expect(
      computeShare(
        60,
        { asked: 60, askedLately: 24, passed: 60, letIn: 60 },
        TERMS,
      ),
    )
      .to.equal(1);
  });

  it("is the ratio of the limit to the demand once a window is full", () => {
    const share = computeShare(
      60,
      { asked: 480, askedLately: 192, passed: 67, letIn: 67 },
      TERMS,
    );
    expect(share).to.be.within(59 / 480, 72 / 480);
  });

  it("is 1 where most admitted requests are refused for other reasons", () => {
    const usage = { asked: 480, askedLately: 192, passed: 480, letIn: 40 };
    expect(computeShare(60, usage, TERMS)).to.equal(1);
  });

  it("is reduced while a window holds more than its limit", () => {
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
  it("doesn't count admitted requests that were not run", () => {
    const gate = new QuotaGate({ terms: TERMS, draw: () => 0.5 });
    gate.replaceShares([], 1);
    gate.decide(WORKSPACE);
    gate.decide(WORKSPACE);
    gate.recordNotRun(WORKSPACE);
    expect(gate.createReport())
      .to.deep.equal([{
        name: "mill",
        asked: 2,
        askedLately: 4,
        passed: 2,
        letIn: 1,
      }]);
  });

  it("admits a share at even intervals, and reports when to retry", () => {
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
    const unlimited = { ...WORKSPACE, ratePerSecond: 0, burst: 0 };
    expect(gate.decide(unlimited).type).to.equal("LetIn");
    gate.recordNotRun(unlimited);
    expect(gate.createReport()).to.deep.equal([]);
  });

  it("removes a workspace that has no requests any more", () => {
    const window = new UsageWindow(1_000);
    window.record("mill", true);
    window.advance();
    expect(window.list()).to.have.length(1);
    Array.from({ length: 4 }).forEach(() => window.advance());
    expect(window.list()).to.deep.equal([]);
  });
});
