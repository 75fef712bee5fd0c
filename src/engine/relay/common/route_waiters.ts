/** Queue of requests that wait for routes, or for workspace keys or limits. */
import { computeRoutesWaitEndMs, MAX_WAITING } from "./start_wait.ts";
import type { StartWait } from "./start_wait.ts";

interface Waiter<T> {
  readonly request: T;
  /** When its wait times out, by the steady clock. */
  readonly endMs: number;
}

/**
 * Holds a bounded number of requests in arrival order, each until a timeout.
 */
export class RouteWaiters<T> {
  #waiters: Waiter<T>[] = [];

  /** Whether no request is waiting. */
  get isEmpty(): boolean {
    return this.#waiters.length === 0;
  }

  /** Adds a request; returns false, and adds none, if the queue is full. */
  add(request: T, wait: StartWait): boolean {
    if (this.#waiters.length >= MAX_WAITING) {
      return false;
    }
    const endMs = computeRoutesWaitEndMs(wait);
    this.#waiters.push({ request, endMs });
    return true;
  }

  /** Removes and returns the requests that have timed out. */
  takeExpired(nowMs: number): readonly T[] {
    const expired = this.#waiters.filter(({ endMs }) => endMs <= nowMs);
    if (expired.length > 0) {
      this.#waiters = this.#waiters.filter(({ endMs }) => endMs > nowMs);
    }
    return expired.map(({ request }) => request);
  }

  /** Removes and returns all requests. */
  takeAll(): readonly T[] {
    const waiters = this.#waiters;
    this.#waiters = [];
    return waiters.map(({ request }) => request);
  }
}
