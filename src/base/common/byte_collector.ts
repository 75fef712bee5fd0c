/**
 * Collects bytes that arrive in parts of any size. A list of the parts would cost
 * about a hundred bytes a part, and each part may keep a much larger buffer
 * alive that it was cut from.
 */

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1_024;
/** Bytes in memory for each byte collected, at most. */
const GROWTH_FACTOR = 2;

/** A growing buffer for one body. */
export class ByteCollector {
  /** The bytes collected, and free bytes behind them. */
  #buffer: Uint8Array = EMPTY;
  #length = 0;
  /** Whether `#buffer` is a part that was passed in, which stays as it is. */
  #isShared = false;

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that they take, at most twice their number and 1 KB. */
  get heldBytes(): number {
    return this.#length === 0 ? 0 : this.#buffer.buffer.byteLength;
  }

  /** Adds the next part; a copy, unless it is the first one and not a small cut. */
  add(part: Uint8Array): void {
    const { length } = part;
    if (length === 0) {
      return;
    }
    if (this.#length === 0 && isCompact(part)) {
      this.#buffer = part;
      this.#length = length;
      this.#isShared = true;
      return;
    }
    const needed = this.#length + length;
    if (this.#isShared || needed > this.#buffer.length) {
      this.#grow(needed);
    }
    this.#buffer.set(part, this.#length);
    this.#length = needed;
  }

  /** Returns the bytes collected, not copied; nothing may be added after that. */
  join(): Uint8Array {
    return this.#buffer.subarray(0, this.#length);
  }

  #grow(needed: number): void {
    const capacity = Math.max(
      needed,
      MIN_CAPACITY_BYTES,
      this.#length * GROWTH_FACTOR,
    );
    const grown = Buffer.allocUnsafeSlow(capacity);
    grown.set(this.#buffer.subarray(0, this.#length));
    this.#buffer = grown;
    this.#isShared = false;
  }
}

/** Whether a part makes up most of the buffer that it keeps alive. */
function isCompact(part: Uint8Array): boolean {
  return part.buffer.byteLength <= part.length * GROWTH_FACTOR;
}
