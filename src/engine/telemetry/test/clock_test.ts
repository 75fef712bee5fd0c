/** Order of the time line when the wall clocks of VMs differ. */
import { expect } from "chai";
import {
  checkClock,
  decodeClock,
  encodeClock,
} from "../common/process_clock.ts";
import { MAX_CLOCK_AHEAD_MS, Timeline } from "../common/timeline.ts";
import { compareRecords } from "../common/timeline_event.ts";

const NOW_MS = 1_700_000_000_000;
const MINUTE_MS = 60_000;
const HOP_DELAY_MS = 1;

/** Events of a chain of three processes: calls down, then answers up. */
const STEPS = [
  ["entry", "CallStarted"],
  ["middle", "AttemptRun"],
  ["deep", "AttemptRun"],
  ["middle", "CallEnded"],
  ["entry", "CallEnded"],
] as const;

/** Sorts the chain's time line; each step is caused by the previous one. */
function listOrderedEvents(
  offsetsMs: Readonly<Record<string, number>>,
  carriesClock: boolean,
): readonly string[] {
  const timelines = new Map(
    Object.keys(offsetsMs).map((process) => [
      process,
      new Timeline({ process, dataCentre: "hall-a" }),
    ]),
  );
  let nowMs = NOW_MS;
  let header: string | undefined;
  for (const [process, type] of STEPS) {
    const timeline = timelines.get(process)!;
    const wallMs = nowMs + offsetsMs[process]!;
    const clock = decodeClock(header);
    if (carriesClock && clock !== undefined) {
      expect(timeline.observeClock(clock, wallMs)).to.equal(true);
    }
    timeline.record({ type, requestId: "r" } as never, wallMs);
    header = encodeClock(timeline.clock);
    nowMs += HOP_DELAY_MS;
  }
  return [...timelines.values()].flatMap((line) => line.list())
    .toSorted(compareRecords)
    .map(({ process, event }) => `${process} ${event.type}`);
}

describe("hybrid logical clock", () => {
  const causalOrder = STEPS.map(([process, type]) => `${process} ${type}`);
  const offsets = {
    "entry ahead": { entry: 7 * MINUTE_MS, middle: 0, deep: 0 },
    "middle behind": { entry: 0, middle: -9 * MINUTE_MS, deep: 0 },
    "each lower one further behind": {
      entry: 0,
      middle: -3 * MINUTE_MS,
      deep: -6 * MINUTE_MS,
    },
    "the deepest one ahead": { entry: 0, middle: 0, deep: 5 * MINUTE_MS },
  };
  for (const [name, offsetsMs] of Object.entries(offsets)) {
    it(`orders a chain by cause and effect, ${name}`, () => {
      expect(listOrderedEvents(offsetsMs, true)).to.deep.equal(causalOrder);
    });

    it(`needs the clock of each message for that, ${name}`, () => {
      expect(listOrderedEvents(offsetsMs, false)).not.to.deep.equal(
        causalOrder,
      );
    });
  }

  it("ignores a clock too far ahead of the wall clock", () => {
    const timeline = new Timeline({ process: "a", dataCentre: "hall-a" });
    timeline.record({ type: "DrainStarted" }, NOW_MS);
    const { clock } = timeline;
    const wallMs = NOW_MS + MAX_CLOCK_AHEAD_MS;
    const counter = 0;
    expect(timeline.observeClock({ wallMs: wallMs + 1, counter }, NOW_MS))
      .to.equal(false);
    expect(timeline.clock).to.deep.equal(clock);
    expect(timeline.observeClock({ wallMs, counter }, NOW_MS)).to.equal(true);
    expect(timeline.clock).to.deep.equal({ wallMs, counter });
  });

  it("rejects values that are not a clock", () => {
    const clock = { wallMs: NOW_MS, counter: 3 };
    expect(decodeClock(encodeClock(clock))).to.deep.equal(clock);
    for (
      const header of [undefined, "", "1", "1.x", "-1.0", "1e9.0", "1.2.3"]
    ) {
      expect(decodeClock(header), String(header)).to.equal(undefined);
    }
    expect(checkClock(clock)).to.deep.equal(clock);
    for (const value of [undefined, null, 1, {}, { wallMs: 1.5, counter: 0 }]) {
      expect(checkClock(value)).to.equal(undefined);
    }
  });
});
