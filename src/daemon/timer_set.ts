/** Timers by key, which reducers start and stop through effects. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import type { TimerKey } from "../engine/call/common/call_events.ts";

/** Owns the timers of one event loop. */
export class TimerSet implements AsyncDisposable {
  readonly #fire: (key: TimerKey) => void;
  readonly #timers = new Map<string, NodeJS.Timeout>();

  constructor(fire: (key: TimerKey) => void) {
    this.#fire = fire;
  }

  /** Starts or reschedules a timer; `atMs` is a time of the steady clock. */
  start(key: TimerKey, atMs: number): void {
    this.stop(key);
    const name = formatKey(key);
    const timer = setTimeout(() => {
      this.#timers.delete(name);
      this.#fire(key);
    }, Math.max(0, atMs - readSteadyMs()));
    this.#timers.set(name, timer);
  }

  /** Stops a timer; has no effect if it is not running. */
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
