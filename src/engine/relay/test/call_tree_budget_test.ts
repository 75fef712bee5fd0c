/** The retry budgets of all nodes together, over whole call trees. */
import process from "node:process";
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import { findWorstWindows } from "../../../../standin/retry_windows.ts";
import { EntryBudget } from "../common/entry_budget.ts";
import { playRetries } from "./retry_simulation.ts";
import type { RetryOutcome, TreeRoute } from "./retry_simulation.ts";

const LIMITS = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const NODES_PER_SERVICE = 3;
/** No answers are lost before. */
const LOSS_START_MS = 11_000;
const END_MS = 26_000;
const ROOTS_PER_S = 60;
/** So few that the slack is the largest part of the budget. */
const QUIET_ROOTS_PER_S = 12;
/** Bound of the calls to the last service of a chain for one root request. */
const MAX_LEAF_CALLS = 24;
const SEEDS = Number(process.env["BASILPIN_SEEDS"] ?? 6);
const TEST_TIMEOUT_MS = 120_000;

type Tree = Readonly<Record<string, TreeRoute>>;

/** Draws a chain of services; one of them may also have root requests. */
function drawTree(
  depth: number,
  draw: Random,
  rootsPerS = ROOTS_PER_S,
): Tree {
  let calls = 1;
  const levels = Array.from({ length: depth }, (_, level) => {
    const times = level === depth - 1 ? 0 : 1 + Math.floor(draw() * 4);
    const bounded = Math.max(
      1,
      Math.min(times, Math.floor(MAX_LEAF_CALLS / calls)),
    );
    calls *= bounded;
    return level === depth - 1 ? 0 : bounded;
  });
  const side = Math.floor(draw() * depth);
  return Object.fromEntries(
    levels.map((times, level): [string, TreeRoute] => [`r${level}`, {
      service: `s${level}`,
      workMs: 10 + draw() * 40,
      calls: times === 0 ? [] : [{ route: `r${level + 1}`, times }],
      rootsPerS: level === 0 ? rootsPerS : level === side ? rootsPerS / 6 : 0,
    }]),
  );
}

function play(
  routes: Tree,
  options: {
    readonly seed: number;
    readonly loss: number;
    readonly earlyLossShare: number;
    readonly restartEveryMs?: number;
  },
): RetryOutcome {
  const { loss, seed, ...rest } = options;
  const nodes = Object.keys(routes).length * NODES_PER_SERVICE;
  const draw = createRandom(seed + 1);
  return playRetries({
    ...rest,
    seed,
    routes,
    nodesPerService: NODES_PER_SERVICE,
    untilMs: END_MS,
    computeLoss: (nowMs) => nowMs < LOSS_START_MS ? 0 : loss,
    createBudget: (startedAtMs) => {
      const budget = new EntryBudget(
        { ratio: LIMITS.ratio, slack: LIMITS.slack, windowS: 10 },
        { startedAtMs, draw },
      );
      return {
        recordFirstAttempt: (call, nowMs) =>
          budget.recordFirstAttempt(call, nowMs),
        recordRetry: (call, nowMs) => budget.recordRetry(call, nowMs),
        canRetry: (call, nowMs) =>
          budget.canRetry(
            call,
            { nodes, hasDownstreamCalls: call.hasDownstreamCalls },
            nowMs,
          ),
      };
    },
  });
}

/** Lists the windows in which a service received too many repeats. */
function listExceededWindows({ arrivals }: RetryOutcome) {
  return findWorstWindows(arrivals, LIMITS)
    .filter(({ repeats, allowed }) => repeats > allowed);
}

describe("the retry budgets of all nodes together", () => {
  // Repeats must not multiply from level to level of a call tree.
  it("hold for each service, whatever the tree and what is lost", () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const draw = createRandom(seed);
      const depth = 2 + Math.floor(draw() * 6);
      const routes = drawTree(depth, draw);
      const loss = [0.03, 0.1, 0.25, 0.5][Math.floor(draw() * 4)]!;
      const earlyLossShare = Math.round(draw());
      const outcome = play(routes, { seed, loss, earlyLossShare });
      const shown = `seed ${seed}, depth ${depth}, ${loss} lost`;
      expect(listExceededWindows(outcome), shown).to.deep.equal([]);
    }
  }).timeout(TEST_TIMEOUT_MS);

  // A restart must not make the slack available again within one window.
  it("hold where nodes are restarted all the time", () => {
    const trees = [
      drawTree(4, createRandom(1)),
      drawTree(1, createRandom(1), QUIET_ROOTS_PER_S),
    ];
    for (const routes of trees) {
      for (const restartEveryMs of [500, 4_000]) {
        const options = {
          seed: 1,
          loss: 0.9,
          earlyLossShare: 1,
          restartEveryMs,
        };
        const outcome = play(routes, options);
        const depth = Object.keys(routes).length;
        const shown = `depth ${depth}, started each ${restartEveryMs} ms`;
        expect(listExceededWindows(outcome), shown).to.deep.equal([]);
      }
    }
  }).timeout(TEST_TIMEOUT_MS);

  // A budget that allows no retries would also hold, but not serve callers.
  it("serve nearly all requests if few answers are lost", () => {
    const routes = drawTree(4, createRandom(1));
    const { served, roots } = play(routes, {
      seed: 1,
      loss: 0.01,
      earlyLossShare: 1,
    });
    expect(served / roots).to.be.above(0.95);
  }).timeout(TEST_TIMEOUT_MS);
});
