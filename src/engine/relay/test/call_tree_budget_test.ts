/** The budgets of all nodes together, over whole call trees. */
import process from "node:process";
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import { findWorstWindows } from "../../../../standin/retry_windows.ts";
import { EntryBudget } from "../common/entry_budget.ts";
import { playRetries } from "./retry_simulation.ts";
import type { RetryOutcome, TreeRoute } from "./retry_simulation.ts";

const TERMS = { ratio: 0.2, slack: 49, windowMs: 10_000 };
const NODES_PER_SERVICE = 3;
const CALM_MS = 11_000;
const UNTIL_MS = 26_000;
const ROOTS_PER_S = 60;
/** So few that the slack is most of what is allowed. */
const QUIET_ROOTS_PER_S = 12;
/** Most calls of the lowest service for one request of a caller. */
const MAX_CALLS = 24;
const SEEDS = Number(process.env["BASILPIN_SEEDS"] ?? 6);
const LONGEST_MS = 120_000;

type Tree = Readonly<Record<string, TreeRoute>>;

/** Draws a chain of services, one of them also with requests of its own. */
function drawTree(
  depth: number,
  draw: Random,
  rootsPerS = ROOTS_PER_S,
): Tree {
  let calls = 1;
  const levels = Array.from({ length: depth }, (_, level) => {
    const times = level === depth - 1 ? 0 : 1 + Math.floor(draw() * 4);
    const kept = Math.max(1, Math.min(times, Math.floor(MAX_CALLS / calls)));
    calls *= kept;
    return level === depth - 1 ? 0 : kept;
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
    readonly earlyPart: number;
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
    untilMs: UNTIL_MS,
    computeLoss: (nowMs) => nowMs < CALM_MS ? 0 : loss,
    createBudget: (startedAtMs) => {
      const budget = new EntryBudget(
        { ratio: TERMS.ratio, slack: TERMS.slack, windowS: 10 },
        { startedAtMs, draw },
      );
      return {
        noteFirst: (call, nowMs) => budget.recordFirstAttempt(call, nowMs),
        noteRetry: (call, nowMs) => budget.recordRetry(call, nowMs),
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

function listBroken({ arrivals }: RetryOutcome) {
  return findWorstWindows(arrivals, TERMS)
    .filter(({ repeats, allowed }) => repeats > allowed);
}

describe("the retry budgets of all nodes together", () => {
  // Guards services against repeats that multiply on their way down a tree.
  it("hold for each service, whatever the tree and what is lost", () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const draw = createRandom(seed);
      const depth = 2 + Math.floor(draw() * 6);
      const routes = drawTree(depth, draw);
      const loss = [0.03, 0.1, 0.25, 0.5][Math.floor(draw() * 4)]!;
      const earlyPart = Math.round(draw());
      const outcome = play(routes, { seed, loss, earlyPart });
      const shown = `seed ${seed}, depth ${depth}, ${loss} lost`;
      expect(listBroken(outcome), shown).to.deep.equal([]);
    }
  }).timeout(LONGEST_MS);

  // Guards services against a slack that is dealt out with each start.
  it("hold where nodes are restarted all the time", () => {
    const trees = [
      drawTree(4, createRandom(1)),
      drawTree(1, createRandom(1), QUIET_ROOTS_PER_S),
    ];
    for (const routes of trees) {
      for (const restartEveryMs of [500, 4_000]) {
        const options = { seed: 1, loss: 0.9, earlyPart: 1, restartEveryMs };
        const outcome = play(routes, options);
        const depth = Object.keys(routes).length;
        const shown = `depth ${depth}, started each ${restartEveryMs} ms`;
        expect(listBroken(outcome), shown).to.deep.equal([]);
      }
    }
  }).timeout(LONGEST_MS);

  // Guards callers against a bound that is kept by retrying nothing.
  it("serve nearly all requests where little is lost", () => {
    const routes = drawTree(4, createRandom(1));
    const { served, roots } = play(routes, {
      seed: 1,
      loss: 0.01,
      earlyPart: 1,
    });
    expect(served / roots).to.be.above(0.95);
  }).timeout(LONGEST_MS);
});
