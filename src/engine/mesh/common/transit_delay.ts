/**
 * How much longer than usual a message was on its way, without a clock that
 * both ends share: what lies above the least difference of the two clocks.
 *
 * Load pattern: in the first second of a surge a node's event loop may be half
 * a second behind. Calls that lay that long in a socket would be handed to the
 * backend server after their callers have left.
 */

/**
 * The least difference is kept so long: a clock that stood still while its
 * machine was suspended makes a new one.
 */
const SPAN_MS = 1_000;

/** Measures the messages of one link, in their order. */
export class TransitDelay {
  #spanStartMs = -Infinity;
  #least = Infinity;
  #leastBefore = Infinity;

  /** Notes a message; returns its delay in milliseconds, 0 where usual. */
  measure(sentAtMs: number, nowMs: number): number {
    if (nowMs - this.#spanStartMs > SPAN_MS) {
      this.#leastBefore = this.#least;
      this.#least = Infinity;
      this.#spanStartMs = nowMs;
    }
    const difference = nowMs - sentAtMs;
    this.#least = Math.min(this.#least, difference);
    return difference - Math.min(this.#least, this.#leastBefore);
  }
}
