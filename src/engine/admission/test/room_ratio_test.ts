/**
 * The room ratio in a loop with the delay of a call tree: what an entry node
 * admits arrives at the bottleneck in parts, 0.2 to 0.9 s later.
 */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import { createRoom, recordDemand, updateRoom } from "../common/room_ratio.ts";
import {
  createPressure,
  recordRequest,
  updatePressure,
} from "../common/overload_pressure.ts";
import { computeRefusedShare } from "../../relay/common/root_admission.ts";

const TICK_MS = 20;
const LIMIT = 60;
/** Time from a report of the gate until the entry nodes decide by it. */
const REPORT_DELAY_MS = 200;
/** Delays from the admission of a root request to its calls. */
const CALL_DELAYS_MS = [100, 200, 300, 400, 500, 600, 700];

/** What a gate does about load: takes demand, returns the admitted share. */
interface Control {
  readonly record: (slotMs: number) => void;
  readonly update: (backlogMs: number, nowMs: number) => number;
}

/** Slots in use and waiting, relative to the limit, one value per tick. */
interface Result {
  readonly used: readonly number[];
  readonly waitMs: readonly number[];
}

function createRatioControl(): Control {
  const room = createRoom(0);
  return {
    record: (slotMs) => recordDemand(room, slotMs),
    update: (backlogMs, nowMs) => {
      updateRoom(room, { limit: LIMIT, backlogMs, nowMs });
      return Math.min(1, room.ratio);
    },
  };
}

/** The feedback controller, with all requests of the least urgent rank. */
function createPressureControl(): Control {
  const state = createPressure(0);
  return {
    record: (slotMs) => recordRequest(state, slotMs),
    update: (backlogMs, nowMs) => {
      const load = { limit: LIMIT, running: LIMIT, backlogMs, nowMs };
      updatePressure(state, load);
      const { pressure } = state;
      const inputs = { rank: 2, lastRank: 2, pressure, admittedShare: 0 };
      return 1 - computeRefusedShare(inputs);
    },
  };
}

/** Simulates a demand relative to the limit, up to `untilMs`. */
function simulate(
  control: Control,
  computeDemand: (nowMs: number) => number,
  untilMs: number,
): Result {
  const admitted: number[] = [];
  const shares: number[] = [];
  const used: number[] = [];
  const waitMs: number[] = [];
  let queuedMs = 0;
  for (let nowMs = 0; nowMs <= untilMs; nowMs += TICK_MS) {
    const tick = nowMs / TICK_MS;
    const share = shares[tick - REPORT_DELAY_MS / TICK_MS] ?? 1;
    admitted.push(computeDemand(nowMs) * share);
    const arriving = CALL_DELAYS_MS.reduce((sum, delayMs) =>
      sum + (admitted[tick - delayMs / TICK_MS] ?? 0), 0) /
      CALL_DELAYS_MS.length;
    const slotMs = arriving * LIMIT * TICK_MS;
    control.record(slotMs);
    const capacityMs = LIMIT * TICK_MS;
    const doneMs = Math.min(capacityMs, queuedMs + slotMs);
    queuedMs += slotMs - doneMs;
    shares.push(control.update(queuedMs / LIMIT, nowMs));
    used.push(doneMs / capacityMs);
    waitMs.push(queuedMs / LIMIT);
  }
  return { used, waitMs };
}

function computeMean(values: readonly number[], fromMs: number): number {
  const selected = values.slice(fromMs / TICK_MS);
  return selected.reduce((sum, value) => sum + value, 0) / selected.length;
}

/** Share of the time at which a call waits longer than a call tree can bear. */
function computeLateShare(waitMs: readonly number[], fromMs: number): number {
  return computeMean(waitMs.map((wait) => wait > 60 ? 1 : 0), fromMs);
}

/** A wave around a mean demand of 1.5, as the sum over data centres. */
function createWave(swing: number, periodMs: number) {
  return (nowMs: number) =>
    1.5 * (1 + swing * Math.sin(2 * Math.PI * nowMs / periodMs));
}

describe("the room ratio", () => {
  for (const demand of [1.1, 1.7, 2.3]) {
    // Guards against idle slots, or a standing queue, in a lasting overload.
    it(`uses nine tenths of the slots at a demand of ${demand}`, () => {
      const { used, waitMs } = simulate(
        createRatioControl(),
        () => demand,
        10_000,
      );
      expect(computeMean(used, 2_000)).to.be.at.least(0.9);
      expect(computeLateShare(waitMs, 2_000)).to.be.below(0.05);
    });
  }

  for (const [swing, periodMs] of [[0.15, 11_000], [0.3, 15_000]] as const) {
    // Guards against a control that still refuses for a crest in the trough.
    it(`follows a wave of ${swing} in ${periodMs} ms`, () => {
      const wave = createWave(swing, periodMs);
      const { used, waitMs } = simulate(createRatioControl(), wave, 40_000);
      expect(computeMean(used, 2_000)).to.be.at.least(0.9);
      expect(computeLateShare(waitMs, 2_000)).to.be.below(0.05);
    });
  }

  // Guards against a burst whose work is begun and then fails for a queue.
  it("settles within two seconds of a burst, sooner than the pressure", () => {
    const burst = (nowMs: number) => nowMs < 3_000 ? 0.7 : 2;
    const byRatio = simulate(createRatioControl(), burst, 8_000);
    const byPressure = simulate(createPressureControl(), burst, 8_000);
    expect(computeLateShare(byRatio.waitMs, 5_000)).to.be.below(0.05);
    expect(computeMean(byRatio.used, 5_000)).to.be.at.least(0.9);
    expect(computeLateShare(byRatio.waitMs, 3_000))
      .to.be.below(computeLateShare(byPressure.waitMs, 3_000));
  });

  // Guards against slots that stay idle after a burst has ended.
  it("refuses nothing within two seconds of the end of a burst", () => {
    const burst = (nowMs: number) => nowMs < 5_000 ? 2 : 0.8;
    const { used } = simulate(createRatioControl(), burst, 9_000);
    expect(computeMean(used, 7_000)).to.be.at.least(0.79);
  });

  // Guards against a ratio that grows without bound, or is not a number.
  it("is bounded without demand, and without capacity", () => {
    const room = createRoom(0);
    updateRoom(room, { limit: 10, backlogMs: 0, nowMs: 100 });
    expect(room.ratio).to.equal(4);
    recordDemand(room, 1_000);
    updateRoom(room, { limit: 0, backlogMs: 0, nowMs: 200 });
    expect(room.ratio).to.equal(0.05);
  });
});

/** A root request whose calls are made one after the other. */
interface ChainedRoot {
  readonly deadlineMs: number;
  callsLeft: number;
}

/** Outcome of a simulation of chained calls. */
interface ChainResult {
  /** Slots in use, relative to the limit. */
  readonly utilization: number;
  /** Share of the root requests begun that missed their deadline. */
  readonly failedShare: number;
}

const CHAIN_CALLS = 8;
const CALL_MS = 39;
/** Mean time between an answer and the next call of the same run. */
const GAP_MS = 20;
const ROOT_TIMEOUT_MS = 1_000;
const STEP_MS = 5;

/**
 * Simulates root requests that each make eight calls in sequence and fail after
 * a second. A queue slows their calls down, so that the demand which arrives at
 * the gate never exceeds its capacity.
 */
function simulateChains(
  computeDemand: (nowMs: number) => number,
  { seed, untilMs, fromMs }: {
    readonly seed: number;
    readonly untilMs: number;
    readonly fromMs: number;
  },
): ChainResult {
  const random = createRandom(seed);
  const control = createRatioControl();
  const shares: number[] = [];
  let waiting: { readonly atMs: number; readonly root: ChainedRoot }[] = [];
  let queue: ChainedRoot[] = [];
  let running: { readonly endMs: number; readonly root: ChainedRoot }[] = [];
  let usedSlots = 0;
  let begun = 0;
  let failed = 0;
  const fail = (nowMs: number) => failed += nowMs >= fromMs ? 1 : 0;
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    const rate = computeDemand(nowMs) * LIMIT / (CHAIN_CALLS * CALL_MS);
    const share = shares.at(-REPORT_DELAY_MS / STEP_MS) ?? 1;
    const count = Math.floor(rate * STEP_MS + random());
    for (let at = 0; at < count; at += 1) {
      if (random() < share) {
        begun += nowMs >= fromMs ? 1 : 0;
        const deadlineMs = nowMs + ROOT_TIMEOUT_MS;
        const root = { deadlineMs, callsLeft: CHAIN_CALLS };
        waiting.push({ atMs: nowMs + 50 + 100 * random(), root });
      }
    }
    running.filter(({ endMs }) => endMs <= nowMs).forEach(({ root }) => {
      root.callsLeft -= 1;
      if (root.callsLeft > 0) {
        waiting.push({ atMs: nowMs + GAP_MS * (0.5 + random()), root });
      }
    });
    running = running.filter(({ endMs }) => endMs > nowMs);
    const due = waiting.filter(({ atMs }) => atMs <= nowMs);
    waiting = waiting.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ root }) => {
      control.record(CALL_MS);
      queue.push(root);
    });
    queue.filter(({ deadlineMs }) => deadlineMs <= nowMs)
      .forEach(() => fail(nowMs));
    queue = queue.filter(({ deadlineMs }) => deadlineMs > nowMs);
    while (queue.length > 0 && running.length < LIMIT) {
      const root = queue.shift()!;
      const endMs = nowMs + CALL_MS * (0.5 - 0.5 * Math.log(1 - random()));
      running.push({ endMs, root });
    }
    usedSlots += nowMs >= fromMs ? running.length : 0;
    const backlogMs = queue.length * CALL_MS / LIMIT;
    shares.push(control.update(backlogMs, nowMs));
  }
  const steps = (untilMs - fromMs) / STEP_MS;
  return {
    utilization: usedSlots / steps / LIMIT,
    failedShare: failed / Math.max(1, begun),
  };
}

describe("the room ratio for calls made one after the other", () => {
  const loads = {
    "a demand of 1.7": () => 1.7,
    "a demand of 2.3": () => 2.3,
    "a wave of 0.3 in 15 s": createWave(0.3, 15_000),
  };
  for (const [name, computeDemand] of Object.entries(loads)) {
    // Guards against a queue that stays, as it slows the demand down to the
    // capacity: most of the work was begun and then failed.
    it(`lets one in twenty of those begun fail at most, at ${name}`, () => {
      for (const seed of [1, 2, 3]) {
        const span = { seed, untilMs: 33_000, fromMs: 3_000 };
        const { utilization, failedShare } = simulateChains(
          computeDemand,
          span,
        );
        expect(utilization, `seed ${seed}`).to.be.at.least(0.9);
        expect(failedShare, `seed ${seed}`).to.be.at.most(0.05);
      }
    });
  }
});
