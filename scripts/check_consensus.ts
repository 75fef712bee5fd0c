/**
 * Checks the consensus reducer against many random fault schedules. Prints the
 * seed, so that a failed run can be repeated: `check_consensus [runs] [seed]`.
 */
import fc from "fast-check";
import process from "node:process";
import { reduceConsensus } from "../src/engine/consensus/common/consensus_reducer.ts";
import {
  createSchedules,
  runSchedule,
} from "../src/engine/consensus/test/fault_schedule.ts";

const DEFAULT_RUNS = 100_000;
/** Most steps of one schedule: twice as many as in the unit tests. */
const MAX_STEPS = 140;

const [runsText, seedText] = process.argv.slice(2);
const numRuns = Number(runsText ?? DEFAULT_RUNS);
const seed = Number(seedText ?? Date.now() % 2 ** 31);
process.stdout.write(`${numRuns} schedules, seed ${seed}\n`);
const startedAtMs = performance.now();
fc.assert(
  fc.property(
    createSchedules(MAX_STEPS),
    (schedule) => runSchedule(schedule, reduceConsensus),
  ),
  { seed, numRuns, plugins: [fc.unbiased()] },
);
const elapsedMs = Math.round(performance.now() - startedAtMs);
process.stdout.write(`no property violated, ${elapsedMs} ms\n`);
