/**
 * Measures the lag of the event loop of this process. Bytes that are read now
 * may have waited in their sockets for that long, and bytes that follow them
 * may still be unread. A request is read one turn before the close of its
 * connection, however long both have been in the socket.
 */

export interface LoopWatchOptions {
  /** Returns the current time in milliseconds. */
  readonly readClock: () => number;
  /** Interval of the timer that calls `tick`, in milliseconds. */
  readonly periodMs: number;
}

/**
 * Lag from which work is deferred until pending bytes have been read. Work must
 * not start 500 ms after its caller has disconnected; two processes and the
 * connections between them share those 500 ms.
 */
const LAG_THRESHOLD_MS = 100;
/**
 * Turns of the loop until a close that follows a request has been read: the
 * rest of the current turn, and the next. Bytes of a connection are read one
 * turn after it was accepted at the earliest, so the lag lasts as long.
 */
const CLOSE_READ_TURNS = 2;

/** Derives the lag from how late a periodic timer runs. */
export class LoopWatch {
  readonly #options: LoopWatchOptions;
  #lastTickMs: number;
  /**
   * Earliest time at which bytes that are read now may have arrived: the last
   * tick, if that was on time.
   */
  #oldestArrivalMs: number;
  /** Whether bytes that arrived during a late tick may still be unread. */
  #isCatchingUp = false;
  /** Whether a connection was accepted since `#catchUp` was last called. */
  #hasAccepted = false;

  constructor(options: LoopWatchOptions) {
    this.#options = options;
    this.#lastTickMs = options.readClock();
    this.#oldestArrivalMs = this.#lastTickMs;
  }

  /**
   * Upper bound on how long bytes that are read now have waited in their
   * sockets, less one timer period, in milliseconds.
   */
  get lagMs(): number {
    const { readClock, periodMs } = this.#options;
    return Math.max(0, readClock() - this.#oldestArrivalMs - periodMs);
  }

  /** Updates the lag; called by a timer every `periodMs`. */
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
   * Records that a connection was accepted. The loop accepts one in each turn,
   * so more connections that arrived while it lagged may follow.
   */
  recordAccepted(): void {
    this.#hasAccepted = true;
  }

  /** Runs `run` at once, or while the loop lags, after pending reads. */
  runAfterPendingReads(run: () => void): void {
    if (this.lagMs < LAG_THRESHOLD_MS) {
      run();
    } else {
      runAfterTurns(CLOSE_READ_TURNS, run);
    }
  }

  /**
   * Keeps the lag while connections are accepted, until `endMs` at most: a
   * process that stays slow accepts connections in every turn, although none of
   * them has waited long.
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

/** Runs `run` after `turns` turns; each reads all readable sockets. */
function runAfterTurns(turns: number, run: () => void): void {
  if (turns === 0) {
    run();
  } else {
    setImmediate(() => runAfterTurns(turns - 1, run));
  }
}
