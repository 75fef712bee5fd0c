/** Event loop that runs a reducer and performs the effects it returns. */
import type { Reduction } from "../common/reduction.ts";

/** Pure reducer; `nowMs` is the time of `readClock`, in milliseconds. */
export type Reduce<S, Ev, Ef> = (
  state: S,
  event: Ev,
  nowMs: number,
) => Reduction<S, Ef>;

export interface EventLoopOptions<S, Ev, Ef> {
  readonly initial: S;
  readonly reduce: Reduce<S, Ev, Ef>;
  /** Returns the current time in milliseconds. */
  readonly readClock: () => number;
  /** Receives each event before the reducer does. */
  readonly observe?: (event: Ev, nowMs: number) => void;
  /** Performs one effect; may dispatch further events. */
  readonly perform: (effect: Ef) => void;
}

/**
 * Processes events one at a time, in the order of their dispatch. An event that
 * is dispatched while an effect is performed is queued until the current event
 * has been processed.
 */
export class EventLoop<S, Ev, Ef> {
  readonly #options: EventLoopOptions<S, Ev, Ef>;
  readonly #pending: Ev[] = [];
  #state: S;
  #isRunning = false;

  constructor(options: EventLoopOptions<S, Ev, Ef>) {
    this.#options = options;
    this.#state = options.initial;
  }

  /** State after the most recent reduction. */
  get state(): S {
    return this.#state;
  }

  /** Enqueues `event` and processes the queue until it is empty. */
  dispatch(event: Ev): void {
    this.#pending.push(event);
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    try {
      this.#drain();
    } finally {
      this.#isRunning = false;
    }
  }

  #drain(): void {
    const { reduce, perform, readClock, observe } = this.#options;
    let event = this.#pending.shift();
    while (event !== undefined) {
      const nowMs = readClock();
      observe?.(event, nowMs);
      const step = reduce(this.#state, event, nowMs);
      this.#state = step.state;
      for (const effect of step.effects) {
        perform(effect);
      }
      event = this.#pending.shift();
    }
  }
}
