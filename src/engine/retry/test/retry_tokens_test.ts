/** The bound on retries over random call trees, through the real reducer. */
import { expect } from "chai";
import fc from "fast-check";
import { createRandom } from "../../../base/test/seeded_random.ts";
import { encodeContext } from "../../call/common/call_context.ts";
import type { CallContext } from "../../call/common/call_context.ts";
import { NodeNetwork, ROW } from "../../call/test/node_network.ts";
import type { BackendRun } from "../../call/test/node_network.ts";

interface TreePlan {
  readonly seed: number;
  readonly tokens: number;
  readonly idempotent: boolean;
  readonly depth: number;
  readonly fanOut: number;
  /** Out of 100. */
  readonly lossPercent: number;
  readonly failPercent: number;
  readonly faultPercent: number;
}

/** Most calls of one tree: keeps a run short. */
const MAX_CALLS = 120;

const PLAN: fc.Arbitrary<TreePlan> = fc.record({
  seed: fc.nat(),
  tokens: fc.integer({ min: 1, max: 6 }),
  idempotent: fc.boolean(),
  depth: fc.integer({ min: 1, max: 10 }),
  fanOut: fc.integer({ min: 1, max: 8 }),
  lossPercent: fc.integer({ min: 0, max: 60 }),
  failPercent: fc.integer({ min: 0, max: 90 }),
  faultPercent: fc.integer({ min: 0, max: 40 }),
});

interface TreeResult {
  /** Ids of the attempts that were sent. */
  readonly attempts: readonly string[];
  /** Ids of the attempts that a backend server ran. */
  readonly runs: readonly string[];
  /** Exchange ids of calls that were told "not run". */
  readonly notRun: readonly string[];
}

/** Runs one tree. */
function runTree(plan: TreePlan): TreeResult {
  const random = createRandom(plan.seed);
  const isDrawn = (percent: number) => random() * 100 < percent;
  const old: { nodeId: string; context: CallContext }[] = [];
  const runs: string[] = [];
  let calls = 0;

  /** Makes up to `left` calls, at once or one after the other. */
  function fanOut(
    network: NodeNetwork,
    run: BackendRun,
    left: number,
    end: () => void,
  ): void {
    if (left === 0 || calls >= MAX_CALLS) {
      end();
      return;
    }
    const { nodeId, send } = run;
    const isDropped = isDrawn(plan.faultPercent);
    const header = isDropped ? undefined : encodeContext(send.context);
    const exchangeId = network.call(nodeId, "egress", header);
    calls += 1;
    if (isDrawn(plan.faultPercent)) {
      network.call(nodeId, "egress", header);
      calls += 1;
    }
    const goOn = () => fanOut(network, run, left - 1, end);
    if (isDrawn(50)) {
      goOn();
    } else {
      network.notifyOnAnswer(exchangeId, goOn);
    }
  }

  function replay(network: NodeNetwork): void {
    const replayed = old[Math.floor(random() * old.length)];
    if (replayed !== undefined && isDrawn(plan.faultPercent)) {
      calls += 1;
      const header = encodeContext(replayed.context);
      network.call(replayed.nodeId, "egress", header);
    }
  }

  function answer(network: NodeNetwork, run: BackendRun): void {
    const { nodeId, send } = run;
    const { attemptId } = send;
    if (isDrawn(plan.failPercent)) {
      fail(network, run, true);
      return;
    }
    network.enqueueEvent(nodeId, {
      type: "AttemptAnswered",
      attemptId,
      answer: { status: 200, outcome: "ran", tokens: 0, isDraining: false },
    });
  }

  function fail(network: NodeNetwork, run: BackendRun, isSent: boolean): void {
    const { attemptId } = run.send;
    const reason = "fault";
    const type = "AttemptFailed";
    network.enqueueEvent(run.nodeId, { type, attemptId, isSent, reason });
  }

  function runBackend(network: NodeNetwork, run: BackendRun): void {
    const { nodeId, send } = run;
    const { context } = send;
    const isLeaf = context.depth + 1 >= plan.depth || calls >= MAX_CALLS;
    const count = isLeaf ? 0 : plan.fanOut;
    replay(network);
    if (isDrawn(plan.failPercent / 2)) {
      fail(network, run, false);
      return;
    }
    old.push({ nodeId, context });
    if (isDrawn(plan.faultPercent)) {
      // Calls made after the head of the answer, or after the failure.
      runs.push(send.attemptId);
      answer(network, run);
      fanOut(network, run, count, () => {});
      return;
    }
    runs.push(send.attemptId);
    fanOut(network, run, count, () => answer(network, run));
  }

  const { tokens, idempotent } = plan;
  const row = { ...ROW, retries: tokens, idempotent };
  const loseRequest = () => {
    const loss = random() < 0.5 ? "late" : "lost";
    return isDrawn(plan.lossPercent / 2) ? loss : undefined;
  };
  const network = new NodeNetwork(row, 4, {
    chooseRequestLoss: loseRequest,
    runBackend,
    isAnswerLost: () => isDrawn(plan.lossPercent),
    isReplyLost: () => isDrawn(plan.lossPercent),
  });
  network.call("n0", "edge");
  network.run();
  const notRun = [...network.answers].flatMap(([exchangeId, { outcome }]) =>
    outcome === "not-run" ? [exchangeId] : []
  );
  return { attempts: network.sentAttemptIds, runs, notRun };
}

/** Counts runs by the exchange id of their call. */
function countRuns(runs: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const attemptId of runs) {
    const exchangeId = attemptId.slice(0, attemptId.lastIndexOf("."));
    counts.set(exchangeId, (counts.get(exchangeId) ?? 0) + 1);
  }
  return counts;
}

/** An attempt id ends with its number within its call. */
function countRetries(attempts: readonly string[]): number {
  return attempts.filter((id) => Number(id.split(".").at(-1)) > 1).length;
}

describe("retry tokens", () => {
  it("bound the retries of a whole call tree by those of its root", () => {
    let trees = 0;
    let spent = 0;
    let exact = 0;
    let most = 0;
    fc.assert(
      fc.property(PLAN, (plan) => {
        const { attempts } = runTree(plan);
        const retries = countRetries(attempts);
        trees += 1;
        spent += retries;
        exact += plan.tokens > 0 && retries === plan.tokens ? 1 : 0;
        most = Math.max(most, attempts.length);
        expect(retries).to.be.at.most(plan.tokens);
      }),
      { numRuns: 150, seed: 11 },
    );
    // The trees must come up to the bound, else they show nothing.
    expect(trees).to.equal(150);
    expect(exact).to.be.above(8);
    expect(most).to.be.above(60);
    expect(spent).to.be.above(100);
    console.log(`      ${JSON.stringify({ trees, spent, exact, most })}`);
  });

  it("never make a call run that is told not-run, nor one run twice", () => {
    let told = 0;
    let resent = 0;
    fc.assert(
      fc.property(PLAN, (plan) => {
        const { attempts, runs, notRun } = runTree(plan);
        const counts = countRuns(runs);
        told += notRun.length;
        resent += plan.idempotent ? 0 : countRetries(attempts);
        for (const exchangeId of notRun) {
          expect(counts.get(exchangeId), exchangeId).to.equal(undefined);
        }
        if (!plan.idempotent) {
          expect(Math.max(0, ...counts.values())).to.be.at.most(1);
        }
      }),
      { numRuns: 150, seed: 11 },
    );
    expect(told).to.be.above(50);
    expect(resent).to.be.above(25);
    console.log(`      ${JSON.stringify({ told, resent })}`);
  });

  it("are not spent again by calls made after the answer's head", () => {
    const runs: BackendRun[] = [];
    const network = new NodeNetwork({ ...ROW, retries: 8 }, 3, {
      runBackend: (_network, run) => runs.push(run),
      isAnswerLost: () => false,
      isReplyLost: () => false,
    });
    network.call("n0", "edge");
    network.run();
    const { nodeId, send } = runs[0]!;
    const { attemptId } = send;
    network.enqueueEvent(nodeId, {
      type: "AttemptAnswered",
      attemptId,
      answer: { status: 200, outcome: "ran", tokens: 0, isDraining: false },
    });
    network.call(nodeId, "egress", encodeContext(send.context));
    network.run();
    expect(send.context.retryTokens).to.equal(4);
    expect(runs[1]!.send.context.retryTokens).to.equal(0);
  });

  it("give none to a context that is replayed after its attempt", () => {
    const runs: BackendRun[] = [];
    const network = new NodeNetwork({ ...ROW, retries: 8 }, 3, {
      runBackend: (_network, run) => runs.push(run),
      isAnswerLost: () => false,
      isReplyLost: () => false,
    });
    network.call("n0", "edge");
    network.run();
    const { nodeId, send } = runs[0]!;
    network.enqueueEvent(nodeId, {
      type: "AttemptAnswered",
      attemptId: send.attemptId,
      answer: { status: 200, outcome: "ran", tokens: 0, isDraining: false },
    });
    network.run();
    network.call(nodeId, "egress", encodeContext(send.context));
    network.run();
    expect(send.context.retryTokens).to.equal(4);
    expect(runs[1]!.send.context.retryTokens).to.equal(0);
  });
});
