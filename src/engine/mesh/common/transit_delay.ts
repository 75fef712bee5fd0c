/**
 * How much longer than usual a message was on its way, without a clock that
 * both ends share: what lies above the least offsetMs of the two clocks.
 *
 * Load pattern: in the first second of a surge a node's event loop may be half
 * a second behind. Calls that lay that long in a socket would be handed to the
 * backend server after their callers have left.
 */

/**
 * The least offsetMs is kept so long: a clock that stood still while its
 * machine was suspended makes a new one.
 */
const BASELINE_WINDOW_MS = 1_000;

/** Measures the messages of one link, in their order. */
export class TransitDelay {
  #windowStartMs = -Infinity;
  #minOffsetMs = Infinity;
  #previousMinOffsetMs = Infinity;

  /** Notes a message; returns its delay in milliseconds, 0 where usual. */
  measure(sentAtMs: number, nowMs: number): number {
    if (nowMs - this.#windowStartMs > BASELINE_WINDOW_MS) {
      this.#previousMinOffsetMs = this.#minOffsetMs;
      this.#minOffsetMs = Infinity;
      this.#windowStartMs = nowMs;
    }
    const offsetMs = nowMs - sentAtMs;
    this.#minOffsetMs = Math.min(this.#minOffsetMs, offsetMs);
    return offsetMs - Math.min(this.#minOffsetMs, this.#previousMinOffsetMs);
  }
}
