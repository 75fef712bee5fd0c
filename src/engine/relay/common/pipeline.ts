/**
 * Order of the requests on one caller's connection. They run concurrently, but
 * are answered in the order in which they arrived (RFC 9112, 9.3.2).
 */

/**
 * Requests of one connection that run at the same time. With a higher limit a
 * single caller could occupy the slots of others; with a lower one it would
 * wait for its own requests.
 */
export const MAX_CONCURRENT_EXCHANGES = 16;

interface Entry<T> {
  readonly exchange: T;
  isStarted: boolean;
}

/**
 * Queue of the exchanges on one connection. Its methods return the exchanges
 * that the caller has to start or to abort.
 */
export class Pipeline<T> {
  readonly #entries: Entry<T>[] = [];
  /** Whether further exchanges are ignored. */
  #isClosing = false;

  /** Number of exchanges without a complete answer. */
  get size(): number {
    return this.#entries.length;
  }

  /** The exchanges without a complete answer, in order of arrival. */
  get exchanges(): readonly T[] {
    return this.#entries.map(({ exchange }) => exchange);
  }

  /** Whether exchanges wait until others of the connection end. */
  get hasWaiting(): boolean {
    return this.#entries.some(({ isStarted }) => !isStarted);
  }

  /** Whether further requests of the connection are ignored. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Adds an exchange; returns the exchanges to start. */
  add(exchange: T): readonly T[] {
    if (this.#isClosing) {
      return [];
    }
    this.#entries.push({ exchange, isStarted: false });
    return this.#startWaiting();
  }

  /** Removes an exchange that was answered; returns the exchanges to start. */
  end(exchange: T): readonly T[] {
    const index = this.#entries
      .findIndex((entry) => entry.exchange === exchange);
    if (index >= 0) {
      this.#entries.splice(index, 1);
    }
    return this.#startWaiting();
  }

  /** Whether this is the exchange that was added last. */
  isLast(exchange: T): boolean {
    return this.#entries.at(-1)?.exchange === exchange;
  }

  /** Ignores further exchanges; those already added are still answered. */
  stopAccepting(): void {
    this.#isClosing = true;
  }

  /** Ends the pipeline of a closed connection; returns its exchanges. */
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
