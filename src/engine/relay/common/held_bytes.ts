/** Limits the bytes of request bodies that a listener buffers. */

/** The buffered bytes of one request. */
export interface ByteReservation {
  /** Adds bytes; returns false, and adds none, if they exceed the limit. */
  readonly add: (bytes: number) => boolean;
  /** Frees all bytes of the request. */
  readonly release: () => void;
}

/**
 * Bounds the buffered bytes of all requests together. A request that is the
 * only one with buffered bytes may exceed the limit.
 */
export class BufferedBytes {
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Begins to count the bytes of one request. */
  open(): ByteReservation {
    let ownBytes = 0;
    return {
      add: (bytes) => {
        const isAlone = this.#bytes === ownBytes;
        if (!isAlone && this.#bytes + bytes > this.#maxBytes) {
          return false;
        }
        this.#bytes += bytes;
        ownBytes += bytes;
        return true;
      },
      release: () => {
        this.#bytes -= ownBytes;
        ownBytes = 0;
      },
    };
  }
}
