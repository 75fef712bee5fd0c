/**
 * Logs once a second how many slots were in use while root requests were
 * refused because of the gate's pressure. Refusals with idle slots are a fault
 * of the overload control, refusals at the limit are not, and the lines of
 * single calls don't distinguish the two.
 */
import { computeCapacity } from "./gate_state.ts";
import type { GateState } from "./gate_state.ts";
import type { RelayLine } from "./relay_log.ts";

/** Pressure changes noticeably within about a second. */
const LOG_INTERVAL_MS = 1_000;

/** Aggregates the samples of one gate since the last line. */
export class GateLoadLog {
  #intervalStartMs = -Infinity;
  #sampleCount = 0;
  #runningSum = 0;
  #queuedSum = 0;
  #minRunning = Infinity;
  #maxPressure = 0;

  /**
   * Samples the gate's load. Returns a line if one is due and there was
   * pressure, or less capacity than demand.
   */
  sample(state: GateState, nowMs: number): RelayLine | undefined {
    const { running, queue, pressure: { pressure } } = state;
    this.#sampleCount += 1;
    this.#runningSum += running;
    this.#queuedSum += queue.length;
    this.#minRunning = Math.min(this.#minRunning, running);
    this.#maxPressure = Math.max(this.#maxPressure, pressure);
    if (nowMs - this.#intervalStartMs < LOG_INTERVAL_MS) {
      return undefined;
    }
    const line = this.#createLine(state);
    const hasPressure = this.#maxPressure > 0 ||
      state.isRoomMeasured && state.room.ratio < 1;
    this.#intervalStartMs = nowMs;
    this.#sampleCount = 0;
    this.#runningSum = 0;
    this.#queuedSum = 0;
    this.#minRunning = Infinity;
    this.#maxPressure = 0;
    return hasPressure ? line : undefined;
  }

  #createLine(state: GateState): RelayLine {
    const { pressure, demand, lostShare } = state.pressure;
    return {
      event: "GateUnderPressure",
      isFailure: false,
      service: state.backend?.service,
      limit: roundToHundredths(computeCapacity(state)),
      meanRunning: roundToHundredths(this.#runningSum / this.#sampleCount),
      leastRunning: this.#minRunning,
      meanQueued: roundToHundredths(this.#queuedSum / this.#sampleCount),
      pressure: roundToHundredths(pressure),
      mostPressure: roundToHundredths(this.#maxPressure),
      demand: roundToHundredths(demand),
      lostShare: roundToHundredths(lostShare),
      ...(state.isRoomMeasured && {
        spare: roundToHundredths(state.room.ratio),
        demandSlots: roundToHundredths(state.room.demandSlots),
        slowdown: state.slowdown?.factor,
      }),
    };
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
