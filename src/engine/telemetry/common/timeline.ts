/** A ring buffer of time line records, ordered by a hybrid logical clock. */
import type {
  HybridTime,
  TimelineEvent,
  TimelineRecord,
} from "./timeline_event.ts";

/** Default number of records that a process retains. */
export const TIMELINE_CAPACITY = 4_096;
/** Maximum lead of a received clock over the local wall clock. */
export const MAX_CLOCK_AHEAD_MS = 3_600_000;

/** The process that owns the time line, and the number of records retained. */
export interface TimelineOptions {
  readonly process: string;
  readonly dataCentre: string;
  readonly capacity?: number;
}

/** The time line of one process. */
export class Timeline {
  readonly #options: TimelineOptions;
  readonly #capacity: number;
  readonly #records: TimelineRecord[] = [];
  #nextIndex = 0;
  #clock: HybridTime = { wallMs: 0, counter: 0 };

  constructor(options: TimelineOptions) {
    this.#options = options;
    this.#capacity = options.capacity ?? TIMELINE_CAPACITY;
  }

  /** The current clock, to be sent with messages. */
  get clock(): HybridTime {
    return this.#clock;
  }

  /**
   * Advances the clock to one received with a message. Ignores a clock more than
   * `MAX_CLOCK_AHEAD_MS` ahead of the wall clock, which would distort all later
   * times. Returns whether the clock was accepted.
   */
  observeClock(other: HybridTime, nowMs: number): boolean {
    if (other.wallMs > nowMs + MAX_CLOCK_AHEAD_MS) {
      return false;
    }
    const isLater = other.wallMs > this.#clock.wallMs ||
      (other.wallMs === this.#clock.wallMs &&
        other.counter > this.#clock.counter);
    if (isLater) {
      this.#clock = other;
    }
    return true;
  }

  /** Records an event; a full buffer overwrites the oldest one. */
  record(event: TimelineEvent, nowMs: number): void {
    this.#clock = nowMs > this.#clock.wallMs
      ? { wallMs: nowMs, counter: 0 }
      : { wallMs: this.#clock.wallMs, counter: this.#clock.counter + 1 };
    const { process, dataCentre } = this.#options;
    const record = { at: this.#clock, process, dataCentre, event };
    this.#records[this.#nextIndex] = record;
    this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
  }

  /** Lists the retained records, oldest first. */
  list(): readonly TimelineRecord[] {
    const isFull = this.#records.length === this.#capacity;
    if (!isFull) {
      return [...this.#records];
    }
    return [
      ...this.#records.slice(this.#nextIndex),
      ...this.#records.slice(0, this.#nextIndex),
    ];
  }
}
