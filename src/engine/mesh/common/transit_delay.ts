/**
 * Measures how much longer than usual a message was in transit, without a clock
 * that both ends share: the excess over the minimum offset between the sender's
 * and the receiver's clock.
 *
 * In the first second of a load surge, the event loop of a node may lag by half
 * a second. Calls that wait that long in a socket would be handed to the backend
 * server after their callers have left.
 */

/**
 * The minimum offset is that of the current window and the one before. It must
 * expire, because a clock that stopped while its machine was suspended changes
 * the offset for good.
 */
const BASELINE_WINDOW_MS = 1_000;

/** Measures the messages of one link, in order of arrival. */
export class TransitDelay {
  #windowStartMs = -Infinity;
  #minOffsetMs = Infinity;
  #previousMinOffsetMs = Infinity;

  /** Records a message; returns its extra delay in milliseconds, 0 if usual. */
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
