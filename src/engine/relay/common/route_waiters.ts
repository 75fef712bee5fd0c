/** Requests that came before any routes are known, in their order. */
import { computeRoutesWaitEndMs, MAX_WAITING } from "./start_wait.ts";
import type { StartWait } from "./start_wait.ts";

interface Waiter<T> {
  readonly request: T;
  /** When it is given up, by the steady clock. */
  readonly endMs: number;
}

/** Holds a bounded number of requests, each until its time has come. */
export class RouteWaiters<T> {
  #waiters: Waiter<T>[] = [];

  /** Whether no request waits. */
  get isEmpty(): boolean {
    return this.#waiters.length === 0;
  }

  /** Adds a request; false where there are too many. */
  add(request: T, wait: StartWait): boolean {
    if (this.#waiters.length >= MAX_WAITING) {
      return false;
    }
    const endMs = computeRoutesWaitEndMs(wait);
    this.#waiters.push({ request, endMs });
    return true;
  }

  /** Takes the requests whose time has come. */
  takeExpired(nowMs: number): readonly T[] {
    const late = this.#waiters.filter(({ endMs }) => endMs <= nowMs);
    if (late.length > 0) {
      this.#waiters = this.#waiters.filter(({ endMs }) => endMs > nowMs);
    }
    return late.map(({ request }) => request);
  }

  /** Takes all requests. */
  takeAll(): readonly T[] {
    const waiters = this.#waiters;
    this.#waiters = [];
    return waiters.map(({ request }) => request);
  }
}
