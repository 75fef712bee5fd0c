/** Property test: safety and progress over random fault schedules. */
import fc from "fast-check";
import { reduceConsensus } from "../common/consensus_reducer.ts";
import { createSchedules, runSchedule } from "./fault_schedule.ts";
import { runFigureEight } from "./figure_eight.ts";

const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8];
const RUNS_PER_SEED = 1_250;

describe("consensus under faults", () => {
  for (const seed of SEEDS) {
    it(`keeps its promises over ${RUNS_PER_SEED} schedules, seed ${seed}`, () => {
      fc.assert(
        fc.property(
          createSchedules(),
          (draws) => runSchedule(draws, reduceConsensus),
        ),
        { seed, numRuns: RUNS_PER_SEED, plugins: [fc.unbiased()] },
      );
    });
  }

  it("keeps its promises in the scenario of figure 8", () => {
    runFigureEight(reduceConsensus);
  });
});
