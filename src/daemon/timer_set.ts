/** Timers by key, so that a reducer can start and stop them as effects. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type { TimerKey } from "../engine/call/common/call_events.ts";

/** Owns the timers of one loop. */
export class TimerSet implements AsyncDisposable {
  readonly #fire: (key: TimerKey) => void;
  readonly #timers = new Map<string, NodeJS.Timeout>();

  constructor(fire: (key: TimerKey) => void) {
    this.#fire = fire;
  }

  /** Starts or moves a timer; `atMs` is the wall clock in milliseconds. */
  start(key: TimerKey, atMs: number): void {
    this.stop(key);
    const name = formatKey(key);
    const timer = setTimeout(() => {
      this.#timers.delete(name);
      this.#fire(key);
    }, Math.max(0, atMs - readSteadyMs()));
    this.#timers.set(name, timer);
  }

  /** Stops a timer; one that isn't running is passed over. */
  stop(key: TimerKey): void {
    const name = formatKey(key);
    clearTimeout(this.#timers.get(name));
    this.#timers.delete(name);
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const timer of this.#timers.values()) {
      clearTimeout(timer);
    }
    this.#timers.clear();
    return Promise.resolve();
  }
}

function formatKey(key: TimerKey): string {
  return `${key.owner}:${key.id}`;
}
