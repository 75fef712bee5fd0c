/**
 * Mutation test: without any one safety rule, the checks must find a violation.
 */
import { assert } from "chai";
import fc from "fast-check";
import { buildConsensusReducer } from "../common/consensus_reducer.ts";
import type { ConsensusReducer } from "../common/consensus_reducer.ts";
import { RAFT_RULES } from "../common/consensus_rules.ts";
import type { ConsensusRules } from "../common/consensus_rules.ts";
import { runFigureEight } from "./figure_eight.ts";
import { createSchedules, runSchedule } from "./fault_schedule.ts";
import { SafetyViolation } from "./safety_checker.ts";

/** A disabled rule. */
interface Mutation {
  readonly name: string;
  readonly rules: Partial<ConsensusRules>;
  /** How to run a schedule; random faults by default. */
  readonly run?: (draws: Uint32Array, reduce: ConsensusReducer) => void;
}

const SEED = 7;
/** A disabled rule must cause a violation within this many schedules. */
const MAX_SCHEDULES = 3_000;
const MAX_STEPS = 110;
/**
 * First number of a schedule, which selects the configuration with a learner.
 */
const LEARNER_CONFIGURATION = 1;

const MUTATIONS: readonly Mutation[] = [
  {
    name: "votes without comparing logs",
    rules: { isUpToDate: () => true },
  },
  {
    name: "votes twice in a term",
    rules: { canVote: () => true },
  },
  {
    name: "commits an entry of an older term by counting",
    rules: { canCommitByCount: () => true },
    // Too rare for random faults: did not occur in 16,000 schedules.
    run: (_draws, reduce) => runFigureEight(reduce),
  },
  {
    name: "answers before the disk has synced",
    rules: { isPersistAwaited: () => false },
  },
  {
    name: "takes entries without comparing their predecessor's term",
    rules: { isPredecessorEqual: (ownTerm) => ownTerm !== undefined },
  },
  {
    name: "answers reads without a quorum",
    rules: { isReadConfirmed: () => true },
  },
  {
    name: "reads before an entry of its term is committed",
    rules: { canReadAt: () => true },
  },
  {
    name: "makes two configuration changes at a time",
    rules: { canChangeConfiguration: () => true },
  },
  {
    name: "counts learners as voters",
    rules: {
      isCounted: ({ voters, learners }, id) =>
        voters.includes(id) || learners.includes(id),
    },
    run: (draws, reduce) =>
      runSchedule([LEARNER_CONFIGURATION, ...draws], reduce),
  },
  {
    name: "writes no term and no vote",
    rules: { selectHardState: () => undefined },
  },
  {
    name: "promotes a learner that has not caught up",
    rules: { isCaughtUp: () => true },
  },
];

describe("consensus without one of its rules", () => {
  for (const { name, rules, run = runSchedule } of MUTATIONS) {
    it(`breaks a promise where it ${name}`, function () {
      const reduce = buildConsensusReducer({ ...RAFT_RULES, ...rules });
      const details = fc.check(
        fc.property(createSchedules(MAX_STEPS), (draws) => run(draws, reduce)),
        {
          seed: SEED,
          numRuns: MAX_SCHEDULES,
          endOnFailure: true,
          plugins: [fc.unbiased()],
        },
      );
      const { failed, numRuns, errorInstance } = details;
      assert.isTrue(failed, `no violation in ${numRuns} schedules`);
      assert.instanceOf(errorInstance, SafetyViolation);
      this.test!.title += `: schedule ${numRuns}, ${errorInstance}`;
    });
  }
});
