/**
 * The requests of one caller's connection, in the order in which they came
 * and must be answered (RFC 9112, 9.3.2). They run beside each other.
 */

/**
 * Requests of one connection that run at a time: more would let a single
 * caller take the places of others; fewer make it wait for its own requests.
 */
export const MAX_CONCURRENT_EXCHANGES = 16;

interface Entry<T> {
  readonly exchange: T;
  isStarted: boolean;
}

/** Keeps the order; the caller carries out what the methods return. */
export class Pipeline<T> {
  readonly #entries: Entry<T>[] = [];
  /** Whether nothing is taken behind the last exchange. */
  #isClosing = false;

  /** Exchanges without a complete answer. */
  get size(): number {
    return this.#entries.length;
  }

  /** Whether exchanges wait for others of the connection to end. */
  get hasWaiting(): boolean {
    return this.#entries.some(({ isStarted }) => !isStarted);
  }

  /** Whether what comes now counts as not read. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Takes an exchange; returns those that are to be started. */
  add(exchange: T): readonly T[] {
    if (this.#isClosing) {
      return [];
    }
    this.#entries.push({ exchange, isStarted: false });
    return this.#startWaiting();
  }

  /** An exchange has its answer; returns those that are to be started. */
  end(exchange: T): readonly T[] {
    const at = this.#entries
      .findIndex((entry) => entry.exchange === exchange);
    if (at >= 0) {
      this.#entries.splice(at, 1);
    }
    return this.#startWaiting();
  }

  /** Whether no exchange came behind this one. */
  isLast(exchange: T): boolean {
    return this.#entries.at(-1)?.exchange === exchange;
  }

  /** Takes nothing more; what was taken is still answered. */
  stopAccepting(): void {
    this.#isClosing = true;
  }

  /** The connection is gone; returns the exchanges that were on it. */
  closeAll(): readonly T[] {
    this.#isClosing = true;
    return this.#entries.splice(0).map(({ exchange }) => exchange);
  }

  #startWaiting(): readonly T[] {
    const started = this.#entries.filter(({ isStarted }) => isStarted).length;
    const next = this.#entries.filter(({ isStarted }) => !isStarted)
      .slice(0, Math.max(0, MAX_CONCURRENT_EXCHANGES - started));
    for (const entry of next) {
      entry.isStarted = true;
    }
    return next.map(({ exchange }) => exchange);
  }
}
