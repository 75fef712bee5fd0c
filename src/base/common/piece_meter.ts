/**
 * Bounds the work of reading a body that comes in small pieces. Reading a piece
 * costs about the same however short it is, and a process that reads millions
 * of them serves nobody else.
 */

/** Pieces of this length and more are worth their cost. */
const WORTHWHILE_BYTES = 512;
/** Small pieces that may come at once. */
const MAX_BURST = 16_384;
/** Further small pieces a second: a server that streams may write many. */
const MAX_RATE = 2_000;

/** Counts the pieces of one body. */
export class PieceMeter {
  readonly #readClock: () => number;
  readonly #startedAtMs: number;
  /** Number of pieces, each less the share of a worthwhile one that it brought. */
  #cost = 0;

  /** `readClock` is a steady clock, in milliseconds. */
  constructor(readClock: () => number) {
    this.#readClock = readClock;
    this.#startedAtMs = readClock();
  }

  /** Counts a piece; returns false once they are too many and too small. */
  add(bytes: number): boolean {
    this.#cost += Math.max(0, 1 - bytes / WORTHWHILE_BYTES);
    if (this.#cost <= MAX_BURST) {
      return true;
    }
    const elapsedMs = this.#readClock() - this.#startedAtMs;
    return this.#cost <= MAX_BURST + MAX_RATE * elapsedMs / 1_000;
  }
}
