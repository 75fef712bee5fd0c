/** Each safety rule taken out must break a promise that the tests check. */
import { assert } from "chai";
import fc from "fast-check";
import { buildConsensusReducer } from "../common/consensus_reducer.ts";
import { RAFT_RULES } from "../common/consensus_rules.ts";
import type { ConsensusRules } from "../common/consensus_rules.ts";
import { runSchedule } from "./fault_schedule.ts";

/** A rule taken out, and the schedules within which that must show. */
interface Mutation {
  readonly name: string;
  readonly rules: Partial<ConsensusRules>;
  readonly maxSchedules: number;
}

const SEED = 7;

const MUTATIONS: readonly Mutation[] = [
  {
    name: "votes without comparing logs",
    rules: { isUpToDate: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "votes twice in a term",
    rules: { canVote: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "commits an entry of an older term by counting",
    rules: { canCommitByCount: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "answers before the disk has synced",
    rules: { mustAwaitPersist: () => false },
    maxSchedules: 2_000,
  },
  {
    name: "takes entries without comparing their predecessor's term",
    rules: { isPredecessorEqual: (ownTerm) => ownTerm !== undefined },
    maxSchedules: 2_000,
  },
  {
    name: "answers reads without a quorum",
    rules: { isReadConfirmed: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "reads before an entry of its term is committed",
    rules: { canReadAt: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "makes two configuration changes at a time",
    rules: { canChangeConfiguration: () => true },
    maxSchedules: 2_000,
  },
  {
    name: "counts learners as voters",
    rules: {
      isCounted: ({ voters, learners }, id) =>
        voters.includes(id) || learners.includes(id),
    },
    maxSchedules: 2_000,
  },
  {
    name: "writes no term and no vote",
    rules: { selectHardState: () => undefined },
    maxSchedules: 2_000,
  },
  {
    name: "promotes a learner that has not caught up",
    rules: { isCaughtUp: () => true },
    maxSchedules: 2_000,
  },
];

describe("consensus without one of its rules", () => {
  for (const { name, rules, maxSchedules } of MUTATIONS) {
    it(`breaks a promise where it ${name}`, function () {
      const reduce = buildConsensusReducer({ ...RAFT_RULES, ...rules });
      const schedule = fc.uint32Array({ minLength: 60, maxLength: 110 });
      const details = fc.check(
        fc.property(schedule, (draws) => runSchedule(draws, reduce)),
        {
          seed: SEED,
          numRuns: maxSchedules,
          endOnFailure: true,
          plugins: [fc.unbiased()],
        },
      );
      const { failed, numRuns, errorInstance } = details;
      assert.isTrue(failed, `no broken promise in ${numRuns} schedules`);
      this.test!.title += `: schedule ${numRuns}, ${errorInstance}`;
    });
  }
});
