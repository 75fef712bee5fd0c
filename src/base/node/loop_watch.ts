/**
 * How far the event loop of this process is behind: bytes that it reads now may
 * have lain in their sockets that long.
 */

/** What the watch is built from. */
export interface LoopWatchOptions {
  readonly readClock: () => number;
  /** How often `tick` is called by a timer, in milliseconds. */
  readonly periodMs: number;
}

/** Compares when a periodic timer ran with when it was due. */
export class LoopWatch {
  readonly #options: LoopWatchOptions;
  /** When the timer last ran; for the turn of a late run, the time before. */
  #sinceMs: number;

  constructor(options: LoopWatchOptions) {
    this.#options = options;
    this.#sinceMs = options.readClock();
  }

  /** Longest time that what is read now may have been there, beyond a period. */
  get lagMs(): number {
    const { readClock, periodMs } = this.#options;
    return Math.max(0, readClock() - this.#sinceMs - periodMs);
  }

  /** To be called by the timer. Timers run before sockets are read. */
  tick(): void {
    const nowMs = this.#options.readClock();
    if (this.lagMs === 0) {
      this.#sinceMs = nowMs;
    } else {
      setImmediate(() => {
        this.#sinceMs = nowMs;
      });
    }
  }
}
