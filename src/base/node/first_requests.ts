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
const CLOSE_TURNS = 2;
/** Longest stretch of turns that only accept, in milliseconds. */
const ACCEPT_STRETCH_MS = 10;
/** Longest slice of held work in one turn, in milliseconds. */
const SLICE_MS = 5;

interface HeldRequest {
  readonly run: () => void;
  /** The turn from which on it may run. */
  readonly fromTurn: number;
}

/** Owns the requests that wait for what lies behind them. */
export class FirstRequests implements FirstRequestQueue {
  readonly #readClock: () => number;
  readonly #held: HeldRequest[] = [];
  #turn = 0;
  #isTurning = false;
  /** Whether a connection was accepted in the present turn. */
  #hasAccepted = false;
  /** Since when each turn has accepted a connection. */
  #acceptsSinceMs = 0;
  #stretchEndMs = 0;

  constructor(readClock: () => number) {
    this.#readClock = readClock;
  }

  /** Longest time that a connection accepted now may have waited. */
  get queuedMs(): number {
    return this.#isTurning ? this.#readClock() - this.#acceptsSinceMs : 0;
  }

  /** Notes that a connection was accepted; more may wait to be. */
  noteAccepted(): void {
    this.#hasAccepted = true;
    this.#startTurns();
  }

  hold(run: () => void): void {
    this.#startTurns();
    this.#held.push({ run, fromTurn: this.#turn + CLOSE_TURNS });
  }

  #startTurns(): void {
    if (this.#isTurning) {
      return;
    }
    this.#isTurning = true;
    this.#acceptsSinceMs = this.#readClock();
    this.#stretchEndMs = this.#acceptsSinceMs + ACCEPT_STRETCH_MS;
    setImmediate(() => this.#endTurn());
  }

  /** Runs after all sockets that have bytes were read once more. */
  #endTurn(): void {
    this.#turn += 1;
    const nowMs = this.#readClock();
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    if (!hasAccepted) {
      this.#acceptsSinceMs = nowMs;
    }
    if (!hasAccepted || nowMs >= this.#stretchEndMs) {
      this.#runSlice(nowMs + SLICE_MS);
      this.#stretchEndMs = this.#readClock() + ACCEPT_STRETCH_MS;
    }
    if (hasAccepted || this.#held.length > 0) {
      setImmediate(() => this.#endTurn());
    } else {
      this.#isTurning = false;
    }
  }

  #runSlice(endMs: number): void {
    while (this.#isNextReady() && this.#readClock() < endMs) {
      this.#held.shift()!.run();
    }
  }

  #isNextReady(): boolean {
    const [next] = this.#held;
    return next !== undefined && next.fromTurn <= this.#turn;
  }
}
