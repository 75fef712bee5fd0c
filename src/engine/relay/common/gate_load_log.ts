/**
 * Says once a second how full the gate was while roots were refused on its
 * account: refusals while places are idle are a fault of ours, refusals at the
 * limit are not, and the lines of single calls don't tell them apart.
 */
import { computeLimit } from "./gate.ts";
import type { GateState } from "./gate.ts";
import type { RelayLine } from "./relay_log.ts";

/** A line a second: pressure moves within about that. */
const PERIOD_MS = 1_000;

/** Sums up the looks at one gate since the last line. */
export class GateLoadLog {
  #sinceMs = -Infinity;
  #looks = 0;
  #running = 0;
  #queued = 0;
  #leastRunning = Infinity;
  #mostPressure = 0;

  /** Notes how the gate is; returns a line where one is due. */
  sample(state: GateState, nowMs: number): RelayLine | undefined {
    const { running, queue, pressure: { pressure } } = state;
    this.#looks += 1;
    this.#running += running;
    this.#queued += queue.length;
    this.#leastRunning = Math.min(this.#leastRunning, running);
    this.#mostPressure = Math.max(this.#mostPressure, pressure);
    if (nowMs - this.#sinceMs < PERIOD_MS) {
      return undefined;
    }
    const line = this.#createLine(state);
    const hasPressure = this.#mostPressure > 0;
    this.#sinceMs = nowMs;
    this.#looks = 0;
    this.#running = 0;
    this.#queued = 0;
    this.#leastRunning = Infinity;
    this.#mostPressure = 0;
    return hasPressure ? line : undefined;
  }

  #createLine(state: GateState): RelayLine {
    const { pressure, demand, lostShare } = state.pressure;
    return {
      event: "GateUnderPressure",
      isFailure: false,
      service: state.backend?.service,
      limit: computeLimit(state),
      meanRunning: trimToHundredths(this.#running / this.#looks),
      leastRunning: this.#leastRunning,
      meanQueued: trimToHundredths(this.#queued / this.#looks),
      pressure: trimToHundredths(pressure),
      mostPressure: trimToHundredths(this.#mostPressure),
      demand: trimToHundredths(demand),
      lostShare: trimToHundredths(lostShare),
    };
  }
}

function trimToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
