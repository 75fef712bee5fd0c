/** How many bytes of requests a listener holds, and who holds them. */

/** What one request holds. */
export interface ByteHold {
  /** Holds further bytes; false where none are left. */
  readonly add: (bytes: number) => boolean;
  readonly release: () => void;
}

/** Bounds the bytes of all requests; a request alone is always held. */
export class HeldBytes {
  readonly #mostBytes: number;
  #bytes = 0;

  constructor(mostBytes: number) {
    this.#mostBytes = mostBytes;
  }

  /** Opens the hold of one request. */
  open(): ByteHold {
    let ownBytes = 0;
    return {
      add: (bytes) => {
        const isAlone = this.#bytes === ownBytes;
        if (!isAlone && this.#bytes + bytes > this.#mostBytes) {
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
