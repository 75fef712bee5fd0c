/** Each safety rule taken out must break a promise that the tests check. */
import { assert } from "chai";
import fc from "fast-check";
import { buildConsensusReducer } from "../common/consensus_reducer.ts";
import type { ConsensusReducer } from "../common/consensus_reducer.ts";
import { RAFT_RULES } from "../common/consensus_rules.ts";
import type { ConsensusRules } from "../common/consensus_rules.ts";
import { runFigureEight } from "./figure_eight.ts";
import { createSchedules, runSchedule } from "./fault_schedule.ts";
import { Violation } from "./safety_checker.ts";

/** A rule taken out. */
interface Mutation {
  readonly name: string;
  readonly rules: Partial<ConsensusRules>;
  /** Random faults where left out. */
  readonly run?: (draws: Uint32Array, reduce: ConsensusReducer) => void;
}

const SEED = 7;
/** Within these a rule taken out must show. */
const MAX_SCHEDULES = 3_000;
const MAX_STEPS = 110;
/** The first number picks the replica set; this one has a learner. */
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
    // Too rare a course for random faults: none in 16,000 schedules.
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
      assert.isTrue(failed, `no broken promise in ${numRuns} schedules`);
      assert.instanceOf(errorInstance, Violation);
      this.test!.title += `: schedule ${numRuns}, ${errorInstance}`;
    });
  }
});
