/** A bounded ring of time line records with a hybrid logical clock. */
import type {
  HybridTime,
  TimelineEvent,
  TimelineRecord,
} from "./timeline_event.ts";

/** Records that a process keeps by default. */
export const TIMELINE_CAPACITY = 4_096;
/** How far ahead another process's clock is believed, in milliseconds. */
export const MAX_CLOCK_AHEAD_MS = 3_600_000;

/** Whose time line it is. */
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
  #next = 0;
  #clock: HybridTime = { wallMs: 0, counter: 0 };

  constructor(options: TimelineOptions) {
    this.#options = options;
    this.#capacity = options.capacity ?? TIMELINE_CAPACITY;
  }

  /** The clock as it stands, to be sent along with messages. */
  get clock(): HybridTime {
    return this.#clock;
  }

  /**
   * Moves the clock past one that came with a message. One that is absurdly
   * far ahead of this wall clock is ignored: it would spoil every later time.
   * Returns whether it was believed.
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

  /** Keeps an event; the oldest one falls out of a full ring. */
  record(event: TimelineEvent, nowMs: number): void {
    this.#clock = nowMs > this.#clock.wallMs
      ? { wallMs: nowMs, counter: 0 }
      : { wallMs: this.#clock.wallMs, counter: this.#clock.counter + 1 };
    const { process, dataCentre } = this.#options;
    const record = { at: this.#clock, process, dataCentre, event };
    this.#records[this.#next] = record;
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /** Lists what is kept, oldest first. */
  list(): readonly TimelineRecord[] {
    const isFull = this.#records.length === this.#capacity;
    if (!isFull) {
      return [...this.#records];
    }
    return [
      ...this.#records.slice(this.#next),
      ...this.#records.slice(0, this.#next),
    ];
  }
}
