/**
 * Queues the first request of each connection until a close that follows the
 * request in the socket has been read.
 *
 * The runtime accepts one connection in each turn of the event loop, so in a
 * burst a connection waits as many turns as there are connections before it.
 * Its caller may have disconnected long before the request is read, and the
 * close is read one turn after the request. Accepting connections therefore
 * takes precedence over running queued requests, which run in short slices so
 * that sockets are read between slices.
 */
import type { FirstRequestQueue } from "../common/first_requests.ts";

/** Turns of the event loop until a close that follows a request is read. */
const CLOSE_READ_TURNS = 2;
/** Longest time for which accepting connections delays queued requests. */
const MAX_ACCEPT_ONLY_MS = 10;
/** Time after which a turn of the loop starts no further queued request. */
const MAX_SLICE_MS = 5;

interface QueuedRequest {
  readonly run: () => void;
  /** First turn of the loop in which `run` may be called. */
  readonly earliestTurn: number;
}

/** Queue of the first requests of all connections of a process. */
export class FirstRequests implements FirstRequestQueue {
  readonly #readClock: () => number;
  readonly #queue: QueuedRequest[] = [];
  /** Turns of the loop counted so far; pauses while not active. */
  #turn = 0;
  /** Whether an end-of-turn callback is scheduled. */
  #isActive = false;
  /** Whether a connection was accepted in the current turn. */
  #hasAccepted = false;
  /** Start of the unbroken series of turns that each accepted a connection. */
  #acceptingSinceMs = 0;
  /** Time from which queued requests run even if connections are accepted. */
  #acceptOnlyUntilMs = 0;

  constructor(readClock: () => number) {
    this.#readClock = readClock;
  }

  /**
   * Upper bound on how long a connection that is accepted now has waited in the
   * listen backlog, in milliseconds.
   */
  get queuedMs(): number {
    return this.#isActive ? this.#readClock() - this.#acceptingSinceMs : 0;
  }

  /** Records that a connection was accepted; the backlog may hold more. */
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

  /** Runs after the turn has read every readable socket once. */
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
