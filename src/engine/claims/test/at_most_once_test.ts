/**
 * Guards against running a key twice when messages are lost or duplicated, nodes
 * restart, or holder sets change; each mutation must make the check fail.
 */
import { expect } from "chai";
import fc from "fast-check";
import { ClaimModel } from "./claim_model.ts";
import type { Action, Mutation } from "./claim_model.ts";

const SCHEDULE_COUNT = 2_500;
const SEED = 20_261;

const PICK = fc.nat({ max: 10_000 });
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  { weight: 30, arbitrary: createAction("deliver") },
  { weight: 20, arbitrary: createAction("deliver-many") },
  { weight: 4, arbitrary: createAction("lose") },
  { weight: 4, arbitrary: createAction("repeat") },
  { weight: 8, arbitrary: createAction("resend") },
  { weight: 6, arbitrary: createAction("finish") },
  { weight: 4, arbitrary: createAction("wake") },
  { weight: 4, arbitrary: createAction("retry") },
  { weight: 10, arbitrary: createAction("tell") },
  { weight: 3, arbitrary: createAction("drain") },
  { weight: 1, arbitrary: createAction("restart") },
);
const SCHEDULE = fc.array(ACTION, { minLength: 40, maxLength: 240 });

function createAction(type: Action["type"]): fc.Arbitrary<Action> {
  return PICK.map((pick) => ({ type, pick }));
}

interface ScheduleResult {
  readonly runs: number;
  readonly answered: number;
  readonly epochs: number;
}

function runSchedule(
  actions: readonly Action[],
  mutation: Mutation,
): ScheduleResult {
  const model = new ClaimModel(mutation);
  actions.forEach((action) => model.step(action));
  model.settle();
  for (const [key, runs] of model.runs) {
    expect(runs, `runs of ${key}`).to.be.at.most(1);
  }
  const answered = model.verdicts.filter((one) => one.type === "Answered");
  for (const verdict of answered) {
    expect(verdict.answer.bodyBase64).to.equal(verdict.key);
    expect(model.runs.get(verdict.key)).to.equal(1);
  }
  return {
    runs: [...model.runs.values()].length,
    answered: answered.length,
    epochs: model.epoch,
  };
}

describe("claims", () => {
  it("run a key at most once over random schedules", () => {
    const total = { runs: 0, answered: 0, moved: 0 };
    fc.assert(
      fc.property(SCHEDULE, (actions) => {
        const result = runSchedule(actions, "none");
        total.runs += result.runs;
        total.answered += result.answered;
        total.moved += result.epochs > 1 ? 1 : 0;
      }),
      { numRuns: SCHEDULE_COUNT, seed: SEED },
    );
    expect(total.runs).to.be.above(SCHEDULE_COUNT / 4);
    expect(total.answered).to.be.above(SCHEDULE_COUNT / 10);
    expect(total.moved).to.be.above(SCHEDULE_COUNT / 10);
  });

  const mutations: readonly Mutation[] = [
    "copy-nothing",
    "restarted-holder-votes",
    "any-epoch",
    "one-vote-wins",
  ];
  for (const mutation of mutations) {
    it(`would run a key twice with ${mutation}`, () => {
      const result = fc.check(
        fc.property(SCHEDULE, (actions) => {
          runSchedule(actions, mutation);
        }),
        { numRuns: SCHEDULE_COUNT, seed: SEED, endOnFailure: true },
      );
      expect(result.failed).to.equal(true);
      expect(String(result.errorInstance)).to.contain("runs of k");
    });
  }
});
