/** The one loop of a process: events in, reducer, effects out. */
import type { Reduction } from "../common/reduction.ts";

/** A pure step: `nowMs` is the wall clock in milliseconds. */
export type Reduce<S, Ev, Ef> = (
  state: S,
  event: Ev,
  nowMs: number,
) => Reduction<S, Ef>;

/** What an event loop is built from. */
export interface EventLoopOptions<S, Ev, Ef> {
  readonly initial: S;
  readonly reduce: Reduce<S, Ev, Ef>;
  readonly readClock: () => number;
  /** Sees each event before it is reduced. */
  readonly observe?: (event: Ev, nowMs: number) => void;
  /** Carries one effect out; it may dispatch further events. */
  readonly perform: (effect: Ef) => void;
}

/**
 * Runs events one at a time, in the order of their dispatch. An event that is
 * dispatched while an effect is performed waits for the current step to end.
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

  /** The state after the last step. */
  get state(): S {
    return this.#state;
  }

  /** Queues `event` and runs the queue until it is empty. */
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
