/**
 * How far the event loop of this process is behind: bytes that it reads now may
 * have lain in their sockets that long, and what follows them may lie there
 * unread. A request is read a turn before the close of its connection, however
 * long both have been there.
 */

/** What the watch is built from. */
export interface LoopWatchOptions {
  readonly readClock: () => number;
  /** How often `tick` is called by a timer, in milliseconds. */
  readonly periodMs: number;
}

/**
 * From this lag on, in milliseconds, work waits for what lies unread. Work
 * must not begin half a second after its caller has left, and two processes
 * and the ways between them share that.
 */
const LAG_THRESHOLD_MS = 100;
/**
 * Turns of the loop until a close that lies behind a request has been read: the
 * rest of the present one, and the next. What comes on a connection is read a
 * turn after it was accepted at the earliest, so the loop is behind as long.
 */
const CLOSE_READ_TURNS = 2;

/** Compares when a periodic timer ran with when it was due. */
export class LoopWatch {
  readonly #options: LoopWatchOptions;
  #lastTickMs: number;
  /** What is read now has come since: the last tick, if that was in time. */
  #oldestArrivalMs: number;
  #isCatchingUp = false;
  /** Whether a connection was accepted in the present stretch of turns. */
  #hasAccepted = false;

  constructor(options: LoopWatchOptions) {
    this.#options = options;
    this.#lastTickMs = options.readClock();
    this.#oldestArrivalMs = this.#lastTickMs;
  }

  /** Longest time that what is read now may have been there, beyond a period. */
  get lagMs(): number {
    const { readClock, periodMs } = this.#options;
    return Math.max(0, readClock() - this.#oldestArrivalMs - periodMs);
  }

  /** To be called by the timer. */
  tick(): void {
    const { lagMs } = this;
    this.#lastTickMs = this.#options.readClock();
    if (this.#isCatchingUp) {
      return;
    }
    if (lagMs >= LAG_THRESHOLD_MS) {
      this.#catchUp(this.#lastTickMs + lagMs);
    } else {
      this.#oldestArrivalMs = this.#lastTickMs;
    }
  }

  /**
   * Notes that a connection was accepted. The loop accepts one a turn, so more
   * of those that came while it was behind may follow.
   */
  recordAccepted(): void {
    this.#hasAccepted = true;
  }

  /** Runs `run`, where the loop is behind only once what lay unread is read. */
  runAfterPendingReads(run: () => void): void {
    if (this.lagMs < LAG_THRESHOLD_MS) {
      run();
    } else {
      runAfterTurns(CLOSE_READ_TURNS, run);
    }
  }

  /**
   * Goes on while connections are accepted, until `endMs` at most: a process
   * that is slow for long accepts some in each turn, and none of them is old.
   */
  #catchUp(endMs: number): void {
    this.#isCatchingUp = true;
    this.#hasAccepted = false;
    runAfterTurns(CLOSE_READ_TURNS, () => {
      if (this.#hasAccepted && this.#options.readClock() < endMs) {
        this.#catchUp(endMs);
      } else {
        this.#isCatchingUp = false;
        this.#oldestArrivalMs = this.#lastTickMs;
      }
    });
  }
}

/** Each turn of the loop reads all sockets that have bytes. */
function runAfterTurns(turns: number, run: () => void): void {
  if (turns === 0) {
    run();
  } else {
    setImmediate(() => runAfterTurns(turns - 1, run));
  }
}
