/**
 * Holds the first request of each connection until the close that may lie
 * behind it has been read.
 *
 * The runtime accepts one connection in each turn of its loop, so in a burst
 * connections wait for as many turns as there are others before them: their
 * callers may have left long before the request is read, and the close is read
 * a turn after it. Accepting therefore goes before the work of held requests,
 * which runs in short slices, so that the sockets are read in between.
 */
import type { FirstRequestQueue } from "../common/first_requests.ts";

/** Turns until the close behind a request that was just read has been read. */
const CLOSE_READ_TURNS = 2;
/** Longest stretch of turns that only accept, in milliseconds. */
const MAX_ACCEPT_ONLY_MS = 10;
/** Longest slice of held work in one turn, in milliseconds. */
const MAX_SLICE_MS = 5;

interface QueuedRequest {
  readonly run: () => void;
  /** The turn from which on it may run. */
  readonly earliestTurn: number;
}

/** Owns the requests that wait for what lies behind them. */
export class FirstRequests implements FirstRequestQueue {
  readonly #readClock: () => number;
  readonly #queue: QueuedRequest[] = [];
  #turn = 0;
  #isActive = false;
  /** Whether a connection was accepted in the present turn. */
  #hasAccepted = false;
  /** Since when each turn has accepted a connection. */
  #acceptingSinceMs = 0;
  #acceptOnlyUntilMs = 0;

  constructor(readClock: () => number) {
    this.#readClock = readClock;
  }

  /** Longest time that a connection accepted now may have waited. */
  get queuedMs(): number {
    return this.#isActive ? this.#readClock() - this.#acceptingSinceMs : 0;
  }

  /** Notes that a connection was accepted; more may wait to be. */
  recordAccepted(): void {
    this.#hasAccepted = true;
    this.#start();
  }

  enqueue(run: () => void): void {
    this.#start();
    this.#queue.push({ run, earliestTurn: this.#turn + CLOSE_READ_TURNS });
  }

  #start(): void {
    if (this.#isActive) {
      return;
    }
    this.#isActive = true;
    this.#acceptingSinceMs = this.#readClock();
    this.#acceptOnlyUntilMs = this.#acceptingSinceMs + MAX_ACCEPT_ONLY_MS;
    setImmediate(() => this.#endTurn());
  }

  /** Runs after all sockets that have bytes were read once more. */
  #endTurn(): void {
    this.#turn += 1;
    const nowMs = this.#readClock();
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    if (!hasAccepted) {
      this.#acceptingSinceMs = nowMs;
    }
    if (!hasAccepted || nowMs >= this.#acceptOnlyUntilMs) {
      this.#runSlice(nowMs + MAX_SLICE_MS);
      this.#acceptOnlyUntilMs = this.#readClock() + MAX_ACCEPT_ONLY_MS;
    }
    if (hasAccepted || this.#queue.length > 0) {
      setImmediate(() => this.#endTurn());
    } else {
      this.#isActive = false;
    }
  }

  #runSlice(endMs: number): void {
    while (this.#isNextReady() && this.#readClock() < endMs) {
      this.#queue.shift()!.run();
    }
  }

  #isNextReady(): boolean {
    const [next] = this.#queue;
    return next !== undefined && next.earliestTurn <= this.#turn;
  }
}
